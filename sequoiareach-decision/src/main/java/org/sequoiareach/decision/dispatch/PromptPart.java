package org.sequoiareach.decision.dispatch;

/**
 * A part of a prompt that may be shared with other requests.
 *
 * @param id the identifier of its content
 * @param tokens its length in tokens
 */
public record PromptPart(String id, long tokens) {}
