package org.sequoiareach.store.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Builds the storage keys of claims and fences. */
final class ClaimKeys {

  private static final String CLAIM_PREFIX = "/sequoiareach/claim/";
  private static final String FENCE_PREFIX = "/sequoiareach/claim-fence/";

  private ClaimKeys() {}

  /**
   * Returns the storage key of a claim. It contains a digest of the idempotency key, because
   * callers choose the characters and the length of that key.
   */
  static String claim(ClaimKey key) {
    return CLAIM_PREFIX
        + key.organisation()
        + "/"
        + key.service()
        + "/"
        + digest(key.idempotencyKey());
  }

  static String fence(String registryId) {
    return FENCE_PREFIX + registryId;
  }

  private static String digest(String text) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
