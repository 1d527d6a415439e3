package org.sequoiareach.daemon.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/** Computes digests of a prompt's prefixes, by which cached prefixes are recognised. */
final class PrefixDigests {

  /** The length by which each prefix is longer than the one before. */
  private static final int STEP_BYTES = 1_024;

  /** The most digests computed for one prompt. */
  private static final int MAX_DIGESTS = 16;

  private PrefixDigests() {}

  static List<Long> of(String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    List<Long> digests = new ArrayList<>();
    MessageDigest running = sha256();
    for (int end = STEP_BYTES; end <= bytes.length; end += STEP_BYTES) {
      running.update(bytes, end - STEP_BYTES, STEP_BYTES);
      digests.add(ByteBuffer.wrap(copy(running).digest()).getLong());
      if (digests.size() == MAX_DIGESTS) {
        break;
      }
    }
    return digests;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private static MessageDigest copy(MessageDigest digest) {
    try {
      return (MessageDigest) digest.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("SHA-256 digests can be copied", e);
    }
  }
}
