package org.sequoiareach.decision.group;

import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.sheet.SheetGuardSettings;
import org.sequoiareach.model.Check;

/**
 * Holds the constants of a daemon's place among the others.
 *
 * @param membership those of the membership
 * @param sheet those of the guard of the sheet
 */
public record GroupSettings(MembershipSettings membership, SheetGuardSettings sheet) {

  /** Checks the parts. */
  public GroupSettings {
    Check.notNull(membership, "membership");
    Check.notNull(sheet, "sheet");
  }
}
