package org.sequoiareach.standin.command;

import java.util.List;
import org.sequoiareach.standin.relay.RelaySettings;
import org.sequoiareach.standin.relay.RelayStandin;
import org.sequoiareach.standin.server.Standin;

/** Implements the subcommand {@code relay}. */
public final class RelayCommand extends StandinCommand {

  @Override
  List<Standin> createStandins() {
    return createSingle(RelaySettings.class, RelayStandin::new);
  }
}
