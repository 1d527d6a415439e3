package org.sequoiareach.standin.kv;

/**
 * Names one key, or the keys from one up to and without another.
 *
 * @param key the key, or the first key of the range
 * @param end the end of the range; empty for one key, one zero byte for all keys from the first
 */
record KeyRange(String key, String end) {

  private static final String NO_END = "\0";

  boolean single() {
    return end.isEmpty();
  }

  boolean unbounded() {
    return end.equals(NO_END);
  }

  boolean contains(String other) {
    if (single()) {
      return key.equals(other);
    }
    return other.compareTo(key) >= 0 && (unbounded() || other.compareTo(end) < 0);
  }
}
