package org.sequoiareach.client;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.daemons.ExplainCommand;
import org.sequoiareach.client.daemons.StatusCommand;
import org.sequoiareach.client.forecast.ForecastCommand;
import org.sequoiareach.client.plan.SheetImportCommand;
import org.sequoiareach.client.sheet.SheetCheckCommand;
import org.sequoiareach.client.sheet.SheetExportCommand;
import org.sequoiareach.client.sheet.SheetShowCommand;

/**
 * Describes one command.
 *
 * @param words the words that name it on the command line
 * @param summary what it does
 * @param factory creates it for one run
 */
record CommandEntry(List<String> words, String summary, Supplier<AbstractCommand> factory) {

  static final List<CommandEntry> ALL =
      List.of(
          entry("sheet check", "check a sheet file", SheetCheckCommand::new),
          entry("sheet export", "bring a sheet into force", SheetExportCommand::new),
          entry("sheet import", "turn the planners' CSV into a sheet", SheetImportCommand::new),
          entry("sheet show", "show the sheet in force", SheetShowCommand::new),
          entry("status", "show every daemon's status", StatusCommand::new),
          entry("explain", "show the decisions on a request", ExplainCommand::new),
          entry("forecast", "predict the cost of a month", ForecastCommand::new));

  static Optional<CommandEntry> find(List<String> args) {
    return ALL.stream()
        .filter(entry -> args.size() >= entry.words.size())
        .filter(entry -> args.subList(0, entry.words.size()).equals(entry.words))
        .findFirst();
  }

  String name() {
    return String.join(" ", words);
  }

  private static CommandEntry entry(
      String name, String summary, Supplier<AbstractCommand> factory) {
    return new CommandEntry(List.of(name.split(" ")), summary, factory);
  }
}
