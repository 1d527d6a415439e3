package org.sequoiareach.client;

import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.settings.ClientSettings;

/** Checks the settings file and nothing else. */
final class CheckSettingsCommand extends AbstractCommand {

  @Option(name = "--check-settings", required = true, usage = "only check the settings")
  private boolean check;

  @Override
  public CommandResult run() {
    ClientSettings settings = settings();
    return new Checked(settings.keyValueService().addresses().size(), settings.daemons().size());
  }

  /** Tells what right settings hold. */
  private record Checked(int keyValueAddresses, int daemons) implements CommandResult {

    @Override
    public String text() {
      return "The settings are right: "
          + keyValueAddresses
          + " addresses of the key-value service, "
          + daemons
          + " daemons.";
    }
  }
}
