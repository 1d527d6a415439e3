package org.sequoiareach.daemon.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/** Computes digests of the prefixes of a prompt, which identify prefixes cached by an engine. */
final class PrefixDigests {

  /** The difference in length between consecutive prefixes. */
  private static final int PREFIX_STEP_BYTES = 1_024;

  private static final int MAX_DIGESTS = 16;

  private PrefixDigests() {}

  /** Returns the first 8 bytes of the digest of each prefix, shortest first. */
  static List<Long> of(String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    List<Long> digests = new ArrayList<>();
    MessageDigest running = sha256();
    for (int end = PREFIX_STEP_BYTES; end <= bytes.length; end += PREFIX_STEP_BYTES) {
      running.update(bytes, end - PREFIX_STEP_BYTES, PREFIX_STEP_BYTES);
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
      throw new IllegalStateException("the algorithm SHA-256 is not available", e);
    }
  }

  private static MessageDigest copy(MessageDigest digest) {
    try {
      return (MessageDigest) digest.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("the SHA-256 implementation does not support cloning", e);
    }
  }
}
