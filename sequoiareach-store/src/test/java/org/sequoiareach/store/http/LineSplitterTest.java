package org.sequoiareach.store.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class LineSplitterTest {

  @Property(tries = 300, seed = "20261203")
  void linesDoNotDependOnChunking(
      @ForAll List<String> texts, @ForAll @IntRange(min = 1, max = 9) int chunkBytes) {
    List<String> lines = texts.stream().map(text -> text.replace('\n', ' ')).toList();
    byte[] bytes = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
    LineSplitter splitter = new LineSplitter(Integer.MAX_VALUE);
    List<String> found = new ArrayList<>();
    for (int from = 0; from < bytes.length; from += chunkBytes) {
      int to = Math.min(bytes.length, from + chunkBytes);
      found.addAll(splitter.split(Arrays.copyOfRange(bytes, from, to)));
    }
    String sent = new String(bytes, StandardCharsets.UTF_8);
    assertThat(String.join("\n", found) + "\n").isEqualTo(sent);
  }

  @Example
  void lineBeyondLimitIsRejected() {
    LineSplitter splitter = new LineSplitter(10);
    splitter.split(new byte[10]);
    assertThatThrownBy(() -> splitter.split(new byte[1])).hasMessageContaining("longer than 10");
  }
}
