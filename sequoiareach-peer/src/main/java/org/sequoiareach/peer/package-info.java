/**
 * Message transport between daemons: typed messages, encoded as length-prefixed MessagePack frames,
 * over one TCP connection per pair of daemons.
 *
 * <p>{@link org.sequoiareach.peer.PeerTransport} is the entry point. This package delivers messages
 * and applies flow control; it does not interpret their content.
 */
package org.sequoiareach.peer;
