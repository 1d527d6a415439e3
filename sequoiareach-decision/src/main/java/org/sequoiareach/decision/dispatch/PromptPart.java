package org.sequoiareach.decision.dispatch;

/**
 * Is a part of a prompt that other requests may share.
 *
 * @param id the identity of its content
 * @param tokens its length
 */
public record PromptPart(String id, long tokens) {}
