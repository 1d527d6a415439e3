package org.sequoiareach.daemon.caller;

/** Gives tests in other packages access to the digests of API keys. */
public final class TestKeys {

  private TestKeys() {}

  /**
   * Computes the digest of an API key.
   *
   * @param key the API key
   * @return its digest
   */
  public static String digest(String key) {
    return PlatformDirectory.digest(key);
  }
}
