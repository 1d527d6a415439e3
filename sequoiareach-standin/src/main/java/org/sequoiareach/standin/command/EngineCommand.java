package org.sequoiareach.standin.command;

import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.standin.engine.EngineGroupSettings;
import org.sequoiareach.standin.engine.EngineStandin;
import org.sequoiareach.standin.server.Standin;

/** Implements the subcommand {@code engine}, whose settings list one or more engines. */
public final class EngineCommand extends StandinCommand {

  @Override
  List<Standin> createStandins() {
    List<Standin> standins = new ArrayList<>();
    SettingsFile.read(settings(), EngineGroupSettings.class)
        .engines()
        .forEach(engine -> standins.add(new EngineStandin(engine)));
    return standins;
  }
}
