package org.sequoiareach.peer;

/** Keeps a connection with open attempts from being taken for lost. Never reaches a listener. */
record KeepAlive() implements PeerMessage {}
