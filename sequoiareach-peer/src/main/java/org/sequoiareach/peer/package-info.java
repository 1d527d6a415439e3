/**
 * Carries typed messages between daemons: MessagePack frames over one TCP connection for each pair.
 *
 * <p>{@link org.sequoiareach.peer.PeerTransport} is the entry point. What the messages mean is
 * decided elsewhere.
 */
package org.sequoiareach.peer;
