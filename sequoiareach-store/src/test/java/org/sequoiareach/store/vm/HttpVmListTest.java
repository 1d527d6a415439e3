package org.sequoiareach.store.vm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.store.http.TestHttpServer;
import org.sequoiareach.store.time.MonotonicClock;

class HttpVmListTest {

  private static final String ONE_VM =
      "{\"vms\":[{\"id\":\"e1\",\"kind\":\"engine\",\"address\":\"127.0.0.1:7101\","
          + "\"zone\":\"liberia-a\",\"leaving\":true,\"serves\":[\"contract-70b\"]}]}";

  @Test
  void vmsAreRead() {
    try (TestHttpServer server = TestHttpServer.answering(200, ONE_VM)) {
      HttpVmList list = new HttpVmList(List.of(server.address()), server.client());
      assertThat(list.read(deadlineMs()).join())
          .singleElement()
          .satisfies(vm -> assertThat(vm.kind()).isEqualTo(VmKind.ENGINE))
          .satisfies(vm -> assertThat(vm.leaving()).isTrue());
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "200|''",
        "200|null",
        "200|{}",
        "200|[]",
        "200|{\"vms\":[null]}",
        "200|{\"vms\":[{\"id\":\"e1\"}]}",
        "200|{\"vms\":[{\"kind\":\"tower\"}]}",
        "503|{\"vms\":[]}",
        "200|<html>"
      })
  void unreadableListIsReportedAndNotTreatedAsEmpty(int status, String body) {
    try (TestHttpServer server = TestHttpServer.answering(status, body)) {
      HttpVmList list = new HttpVmList(List.of(server.address()), server.client());
      assertThatThrownBy(() -> list.read(deadlineMs()).join())
          .hasCauseInstanceOf(VmListException.class)
          .hasMessageContaining(server.address());
    }
  }

  private static long deadlineMs() {
    return MonotonicClock.nowMs() + 5_000;
  }
}
