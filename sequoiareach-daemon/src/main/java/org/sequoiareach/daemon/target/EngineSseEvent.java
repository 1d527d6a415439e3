package org.sequoiareach.daemon.target;

/**
 * A server-sent event.
 *
 * @param id the event ID; empty if there is none
 * @param data the event data
 */
record EngineSseEvent(String id, String data) {}
