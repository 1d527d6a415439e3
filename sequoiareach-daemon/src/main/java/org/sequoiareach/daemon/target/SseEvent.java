package org.sequoiareach.daemon.target;

/**
 * Holds one server-sent event.
 *
 * @param id the event's id; empty where it has none
 * @param data the event's data
 */
record SseEvent(String id, String data) {}
