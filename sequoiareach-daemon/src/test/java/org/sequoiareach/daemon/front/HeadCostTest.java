package org.sequoiareach.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against heads whose lines are kept without being counted, and bodies counted as heads. */
class HeadCostTest {

  @ParameterizedTest
  @CsvSource({
    "'GET / HTTP/1.1|a:b|', false, 2, 19, true",
    "'GET / HTTP/1.1|a:b||x|y|z|', false, 3, 20, true",
    "'||GET / HTTP/1.1|a:|', false, 4, 20, true",
    "'a:b||x|y|', true, 2, 5, true",
    "'|x|y|', true, 1, 1, true",
    "'GET / HTTP/1.1', false, 0, 0, false",
    "'', false, 0, 0, false"
  })
  void countsCompleteLinesUpToEndOfHead(
      String text, boolean continued, int lines, int bytes, boolean started) {
    ByteBuf input = Unpooled.copiedBuffer(text.replace('|', '\n'), StandardCharsets.ISO_8859_1);

    HeadCost cost = HeadCost.of(input, continued);

    assertThat(cost).isEqualTo(new HeadCost(lines, bytes, started));
    assertThat(input.readerIndex()).isZero();
  }
}
