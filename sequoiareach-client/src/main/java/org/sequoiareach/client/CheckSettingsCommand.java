package org.sequoiareach.client;

import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.settings.ClientSettings;

/** Validates the settings file without contacting any service. */
final class CheckSettingsCommand extends AbstractCommand {

  @Option(name = "--check-settings", required = true, usage = "only validate the settings")
  private boolean checkSettings;

  @Override
  public CommandResult run() {
    ClientSettings settings = settings();
    return new Checked(settings.keyValueService().addresses().size(), settings.daemons().size());
  }

  /** The number of addresses and daemons in valid settings. */
  private record Checked(int keyValueAddresses, int daemons) implements CommandResult {

    @Override
    public String text() {
      return "The settings are valid: "
          + keyValueAddresses
          + " key-value service addresses, "
          + daemons
          + " daemons.";
    }
  }
}
