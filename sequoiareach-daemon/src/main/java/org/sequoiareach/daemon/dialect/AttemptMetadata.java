package org.sequoiareach.daemon.dialect;

import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.dispatch.Continuation;

/**
 * The properties of an attempt that are sent to its target in headers.
 *
 * @param targetId the target that the attempt is addressed to
 * @param leftMs the remaining time until the deadline, in milliseconds
 * @param organisation the caller's organisation
 * @param priority the priority of the request; 0 is the most urgent
 * @param continuation the copied memory from which a run continues; empty for a new run
 * @param lastEventId the last event received from a run that continues or is repeated; empty if the
 *     answer starts with the first event
 */
public record AttemptMetadata(
    String targetId,
    long leftMs,
    Optional<String> organisation,
    int priority,
    Optional<Continuation> continuation,
    OptionalLong lastEventId) {}
