package org.sequoiareach.standin.command;

import java.util.List;
import org.sequoiareach.standin.server.Standin;
import org.sequoiareach.standin.vms.VmListSettings;
import org.sequoiareach.standin.vms.VmListStandin;

/** Implements the subcommand {@code vms}. */
public final class VmListCommand extends StandinCommand {

  @Override
  List<Standin> createStandins() {
    return createSingle(VmListSettings.class, VmListStandin::new);
  }
}
