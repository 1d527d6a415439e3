package org.sequoiareach.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Keeps what a transport received, in order. */
final class RecordingListener implements PeerListener {

  private static final long PATIENCE_MS = 5_000;

  private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> lost = new LinkedBlockingQueue<>();

  @Override
  public void onMessage(String fromDaemon, PeerMessage message) {
    messages.add(message);
  }

  @Override
  public void onPeerLost(String daemonId) {
    lost.add(daemonId);
  }

  PeerMessage nextMessage() throws InterruptedException {
    return messages.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
  }

  <T extends PeerMessage> T next(Class<T> type) throws InterruptedException {
    return type.cast(nextMessage());
  }

  String nextLost() throws InterruptedException {
    return lost.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
  }

  int lost() {
    return lost.size();
  }

  int received() {
    return messages.size();
  }
}
