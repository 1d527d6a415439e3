package org.sequoiareach.daemon.sse;

import java.util.Optional;

/**
 * What a block is to the caller of a stream.
 *
 * @param kind what it is
 * @param eventId the number of its event; 0 if it has none
 * @param fault what is wrong with it; present if and only if it is invalid
 */
public record BlockReading(Kind kind, long eventId, Optional<StreamFault> fault) {

  /** The kinds of blocks. */
  public enum Kind {
    /** Comments, blank lines or a reconnection time, which make no event. */
    FILLER,
    /** The next event. */
    NEXT,
    /** An event that the caller has. */
    REPEATED,
    /** Nothing that a sound server sends. */
    INVALID
  }

  static final BlockReading FILLER = new BlockReading(Kind.FILLER, 0, Optional.empty());

  static BlockReading next(long eventId) {
    return new BlockReading(Kind.NEXT, eventId, Optional.empty());
  }

  static BlockReading repeated(long eventId) {
    return new BlockReading(Kind.REPEATED, eventId, Optional.empty());
  }

  static BlockReading invalid(StreamFault fault) {
    return new BlockReading(Kind.INVALID, 0, Optional.of(fault));
  }
}
