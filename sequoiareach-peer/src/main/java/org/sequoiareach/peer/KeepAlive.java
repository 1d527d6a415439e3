package org.sequoiareach.peer;

/**
 * Message that prevents the idle timeout of a connection with open attempts. It is not passed to
 * the {@link PeerListener}.
 */
record KeepAlive() implements PeerMessage {}
