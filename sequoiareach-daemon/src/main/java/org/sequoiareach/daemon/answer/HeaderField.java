package org.sequoiareach.daemon.answer;

/**
 * Holds one HTTP header field.
 *
 * @param name the name
 * @param value the value
 */
public record HeaderField(String name, String value) {}
