package org.sequoiareach.standin.command;

import java.util.List;
import org.sequoiareach.standin.server.Standin;
import org.sequoiareach.standin.vms.VmListSettings;
import org.sequoiareach.standin.vms.VmListStandin;

/** Is the subcommand {@code vms}. */
public final class VmListCommand extends StandinCommand {

  @Override
  List<Standin> createAll() {
    return createOne(VmListSettings.class, VmListStandin::new);
  }
}
