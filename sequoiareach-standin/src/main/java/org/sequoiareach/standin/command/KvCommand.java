package org.sequoiareach.standin.command;

import java.util.List;
import org.sequoiareach.standin.kv.KvSettings;
import org.sequoiareach.standin.kv.KvStandin;
import org.sequoiareach.standin.server.Standin;

/** Implements the subcommand {@code kv}. */
public final class KvCommand extends StandinCommand {

  @Override
  List<Standin> createStandins() {
    return createSingle(KvSettings.class, KvStandin::new);
  }
}
