package org.sequoiareach.standin.command;

import java.util.List;
import org.sequoiareach.standin.server.Standin;
import org.sequoiareach.standin.service.ServiceSettings;
import org.sequoiareach.standin.service.ServiceStandin;

/** Implements the subcommand {@code service}. */
public final class ServiceCommand extends StandinCommand {

  @Override
  List<Standin> createStandins() {
    return createSingle(ServiceSettings.class, ServiceStandin::new);
  }
}
