package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.route.RoutedTarget;

/**
 * An attempt in progress.
 *
 * @param target the target
 * @param number the number of the attempt
 * @param sentAtMs when it was sent, in milliseconds
 */
record SentAttempt(RoutedTarget target, int number, long sentAtMs) {}
