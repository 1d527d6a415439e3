package org.sequoiareach.decision.group;

import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.sheet.SheetGuardSettings;
import org.sequoiareach.model.Check;

/**
 * Settings of a {@link GroupReducer}.
 *
 * @param membership the settings of the membership protocol
 * @param sheet the settings of the sheet guard
 */
public record GroupSettings(MembershipSettings membership, SheetGuardSettings sheet) {

  /** Validates the settings. */
  public GroupSettings {
    Check.notNull(membership, "membership");
    Check.notNull(sheet, "sheet");
  }
}
