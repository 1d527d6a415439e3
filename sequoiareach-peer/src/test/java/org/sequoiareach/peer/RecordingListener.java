package org.sequoiareach.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Records the received messages and the lost peers in order. */
final class RecordingListener implements PeerListener {

  private static final long TIMEOUT_MS = 5_000;

  private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> lostPeers = new LinkedBlockingQueue<>();

  @Override
  public void onMessage(String fromDaemon, PeerMessage message) {
    messages.add(message);
  }

  @Override
  public void onPeerLost(String daemonId) {
    lostPeers.add(daemonId);
  }

  PeerMessage nextMessage() throws InterruptedException {
    return messages.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  <T extends PeerMessage> T next(Class<T> type) throws InterruptedException {
    return type.cast(nextMessage());
  }

  String nextLostPeer() throws InterruptedException {
    return lostPeers.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  int lostCount() {
    return lostPeers.size();
  }

  int receivedCount() {
    return messages.size();
  }
}
