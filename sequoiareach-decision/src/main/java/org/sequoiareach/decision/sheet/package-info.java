/**
 * Distribution of sheets between daemons, and the protection against serving with an outdated
 * sheet.
 *
 * <p>{@link org.sequoiareach.decision.sheet.SheetGuard} defines the staleness bound and the
 * assumptions that it depends on.
 */
package org.sequoiareach.decision.sheet;
