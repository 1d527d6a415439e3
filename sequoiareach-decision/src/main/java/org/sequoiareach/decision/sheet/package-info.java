/**
 * Keeps a daemon from serving an older sheet than the one in force, and spreads sheets between
 * daemons.
 *
 * <p>{@link org.sequoiareach.decision.sheet.SheetGuard} states the bound and what it rests on.
 */
package org.sequoiareach.decision.sheet;
