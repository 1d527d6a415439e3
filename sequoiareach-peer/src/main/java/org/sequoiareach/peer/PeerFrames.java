package org.sequoiareach.peer;

/** Computes the encoded size of messages. Thread-safe. */
public final class PeerFrames {

  private PeerFrames() {}

  /**
   * Computes the size of a message's frame, including the length field.
   *
   * @param message the message
   * @return the size in bytes
   */
  public static int sizeOf(PeerMessage message) {
    return TransportContext.LENGTH_FIELD_BYTES + PeerCodec.encode(message).length;
  }
}
