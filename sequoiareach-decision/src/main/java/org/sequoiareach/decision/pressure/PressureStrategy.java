package org.sequoiareach.decision.pressure;

import java.util.List;
import java.util.OptionalInt;

/** Chooses the client that makes room for another. */
public interface PressureStrategy {

  /**
   * Chooses who releases memory.
   *
   * @param holdings what is held for each other client
   * @param requestedBytes what the requesting client holds and asks for, in bytes
   * @param nowMs the time, in milliseconds of the monotonic clock
   * @return the index of the client to refuse; empty if the requesting client is to be refused
   */
  OptionalInt chooseForMemory(List<Holding> holdings, long requestedBytes, long nowMs);

  /**
   * Chooses whose connection is closed for a new one.
   *
   * @param holdings what is held for each connected client
   * @param nowMs the time, in milliseconds of the monotonic clock
   * @return the index of the client to close; empty if the new connection is to be closed
   */
  OptionalInt chooseForConnection(List<Holding> holdings, long nowMs);
}
