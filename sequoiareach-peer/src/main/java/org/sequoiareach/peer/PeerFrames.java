package org.sequoiareach.peer;

/** Tells how messages look on the wire. Thread-safe. */
public final class PeerFrames {

  private PeerFrames() {}

  /**
   * Computes the bytes that a message takes, its length field included.
   *
   * @param message the message
   * @return the bytes of its frame
   */
  public static int sizeOf(PeerMessage message) {
    return TransportContext.LENGTH_BYTES + PeerCodec.encode(message).length;
  }
}
