package org.sequoiareach.standin.kv;

/**
 * Represents a single key or a half-open range of keys.
 *
 * @param key the key, or the first key of the range
 * @param end the exclusive end of the range; empty for a single key, one zero byte for no end
 */
record KeyRange(String key, String end) {

  private static final String NO_END = "\0";

  boolean isSingleKey() {
    return end.isEmpty();
  }

  boolean isUnbounded() {
    return end.equals(NO_END);
  }

  boolean contains(String other) {
    if (isSingleKey()) {
      return key.equals(other);
    }
    return other.compareTo(key) >= 0 && (isUnbounded() || other.compareTo(end) < 0);
  }
}
