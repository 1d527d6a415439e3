package org.sequoiareach.standin.vms;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.standin.server.TestHttpClient;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class VmListStandinTest {

  private static final VmEntry FIRST = entry("e1", false);

  private final AtomicLong clock = new AtomicLong(1_000);
  private final VmListStandin vms =
      new VmListStandin(new VmListSettings("127.0.0.1:0", 500, List.of(FIRST)), clock::get);
  private TestHttpClient client;

  @BeforeEach
  void start() {
    client = new TestHttpClient(vms.start());
  }

  @AfterEach
  void close() {
    vms.close();
  }

  @Test
  void returnsChangesAfterLag() throws Exception {
    String body = "{\"id\":\"e2\",\"kind\":\"engine\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\"}";
    assertThat(client.send("PUT", "/vms/e2", body).statusCode()).isEqualTo(204);
    assertThat(client.send("DELETE", "/vms/e1", "").statusCode()).isEqualTo(204);
    assertThat(visibleIds()).containsExactly("e1");
    clock.addAndGet(500);
    assertThat(visibleIds()).containsExactly("e2");
    assertThat(client.send("DELETE", "/vms/e1", "").statusCode()).isEqualTo(404);
  }

  @Test
  void keepsListUnchangedWhileFrozen() throws Exception {
    client.setFaults("{\"frozen\":true,\"lagMs\":0}");
    clock.addAndGet(1);
    vms.put(entry("e1", true));
    clock.addAndGet(10_000);
    assertThat(vms.visible()).containsExactly(FIRST);
    client.setFaults("{}");
    assertThat(vms.visible()).containsExactly(entry("e1", true));
  }

  @Test
  void closesConnectionsWhileDown() throws Exception {
    client.setFaults("{\"down\":true}");
    assertThatThrownBy(this::visibleIds).isInstanceOf(IOException.class);
    assertThat(client.send("PUT", "/faults", "{\"dwn\":true}").statusCode()).isEqualTo(400);
  }

  private List<String> visibleIds() throws Exception {
    return client.json("GET", "/vms", "").path("vms").findValuesAsText("id");
  }

  private static VmEntry entry(String id, boolean leaving) {
    return new VmEntry(id, VmKind.ENGINE, "127.0.0.1:1", "z", leaving, List.of("m"));
  }
}
