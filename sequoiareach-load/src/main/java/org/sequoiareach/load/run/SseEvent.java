package org.sequoiareach.load.run;

/**
 * A server-sent event.
 *
 * @param id the event id; empty if absent
 * @param data the data lines, joined by line feeds
 */
record SseEvent(String id, String data) {}
