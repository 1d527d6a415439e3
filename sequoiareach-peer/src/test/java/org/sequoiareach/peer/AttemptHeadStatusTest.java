package org.sequoiareach.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no number in a frame is taken for the status of an answer unless it is one. */
class AttemptHeadStatusTest {

  private static final int STATUS = 599;

  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 1, 99, 600, 999, 7_000})
  void rejectsNumberThatIsNoStatus(int number) {
    String changed = frame().replace(pack(STATUS), pack(number));

    assertThat(changed).isNotEqualTo(frame());
    assertThatExceptionOfType(PeerFrameException.class).isThrownBy(() -> decode(changed));
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 200, 599})
  void acceptsStatus(int number) throws PeerFrameException {
    String changed = frame().replace(pack(STATUS), pack(number));

    assertThat(decode(changed))
        .isInstanceOfSatisfying(
            AttemptMessage.AttemptHead.class, head -> assertThat(head.status()).isEqualTo(number));
  }

  private static String frame() {
    var head = new AttemptMessage.AttemptHead("r1", "t1", STATUS, List.of(), Optional.empty());
    return new String(PeerCodec.encode(head), StandardCharsets.ISO_8859_1);
  }

  private static PeerMessage decode(String frame) throws PeerFrameException {
    return PeerCodec.decode(frame.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the MessagePack form of a number that consists of a marker and two bytes. */
  private static String pack(int number) {
    char marker = (char) (number < 0 ? 0xd1 : 0xcd);
    return "" + marker + (char) (number >> 8 & 0xff) + (char) (number & 0xff);
  }
}
