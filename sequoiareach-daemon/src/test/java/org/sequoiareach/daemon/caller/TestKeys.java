package org.sequoiareach.daemon.caller;

/** Gives tests of other packages the digests of keys. */
public final class TestKeys {

  private TestKeys() {}

  /**
   * Computes a digest.
   *
   * @param key the key
   * @return its digest
   */
  public static String digest(String key) {
    return KeyDirectory.digest(key);
  }
}
