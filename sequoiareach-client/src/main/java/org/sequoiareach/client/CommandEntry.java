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
 * An entry of the command table.
 *
 * @param words the words that select the command on the command line
 * @param summary a short description for the help text
 * @param factory creates an instance of the command for one run
 */
record CommandEntry(List<String> words, String summary, Supplier<AbstractCommand> factory) {

  static final List<CommandEntry> ALL =
      List.of(
          entry("sheet check", "validate a sheet file", SheetCheckCommand::new),
          entry(
              "sheet export", "export a sheet as the new current version", SheetExportCommand::new),
          entry("sheet import", "convert a plan CSV file to a sheet", SheetImportCommand::new),
          entry("sheet show", "show the current sheet", SheetShowCommand::new),
          entry("status", "show the status of every daemon", StatusCommand::new),
          entry("explain", "show the decisions made for a request", ExplainCommand::new),
          entry("forecast", "forecast the cost of a month", ForecastCommand::new));

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
