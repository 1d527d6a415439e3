package org.sequoiareach.load.run;

/**
 * Holds one server-sent event.
 *
 * @param id the event's id; empty where it has none
 * @param data the joined data lines
 */
record SseEvent(String id, String data) {}
