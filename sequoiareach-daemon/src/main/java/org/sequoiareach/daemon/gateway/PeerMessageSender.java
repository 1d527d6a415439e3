package org.sequoiareach.daemon.gateway;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.Check;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerTransport;

/**
 * Sends messages to peers that need no confirmation: state is sent again within a second, requests
 * time out, and membership probes detect whether a peer is alive. Thread-safe.
 */
final class PeerMessageSender {

  private static final Logger LOGGER = LogManager.getLogger(PeerMessageSender.class);

  private final PeerTransport transport;

  PeerMessageSender(PeerTransport transport) {
    this.transport = Check.notNull(transport, "transport");
  }

  void send(String daemonId, String address, PeerMessage message) {
    transport
        .send(daemonId, address, message)
        .exceptionally(
            thrown -> {
              LOGGER.debug(
                  "Could not send {} to daemon {}: {}",
                  message.getClass().getSimpleName(),
                  daemonId,
                  thrown.getMessage());
              return null;
            });
  }
}
