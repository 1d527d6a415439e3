/**
 * Follows the store by few daemons for all.
 *
 * <p>A few daemons watch the store and pass on what they read, together with a statement of when
 * they read it. Every other daemon reads the store for itself exactly when no statement young
 * enough has reached it. Daemons with different views may disagree about who watches: one reader
 * too many costs calls, one too few is noticed by the age of the statements.
 */
package org.sequoiareach.decision.follow;
