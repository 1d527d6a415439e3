package org.sequoiareach.daemon.dialect;

import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.dispatch.Continuation;

/**
 * Says what a target is to know of an attempt.
 *
 * @param targetId the target that it is meant for
 * @param leftMs the time left for it, in milliseconds
 * @param organisation the caller's organisation
 * @param priority the rank of the request; 0 is the most urgent
 * @param continuation the memory from which a run goes on; empty for a new run
 * @param lastEventId the last event that was received of a run that goes on
 */
public record AttemptStamp(
    String targetId,
    long leftMs,
    Optional<String> organisation,
    int priority,
    Optional<Continuation> continuation,
    OptionalLong lastEventId) {}
