package org.sequoiareach.client.forecast;

import java.time.Clock;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.YearMonth;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandException;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.Connections;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.client.command.TextTable;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.store.sheet.PlannedCost;
import org.sequoiareach.store.sheet.SheetHistory;

/** Forecasts the cost of a month from the sheets exported so far. */
public final class ForecastCommand extends AbstractCommand {

  private static final String BASIS =
      "planned tokens and prices of the exported sheets; actual spending is not recorded yet";
  private static final String ERROR_BASIS =
      "the range covers the choice of models, not deviations from the plan";

  @Option(
      name = "--month",
      metaVar = "YYYY-MM",
      usage = "the month in UTC; default: the current month")
  private String month;

  private final Clock clock = Clock.systemUTC();

  @Override
  public CommandResult run() {
    YearMonth requestedMonth = month == null ? YearMonth.now(clock) : parse(month);
    try (Connections connections = new Connections(settings())) {
      long deadlineMs = connections.deadlineMs();
      SheetHistory history = Connections.await(connections.sheetStore().findHistory(deadlineMs));
      Sheet sheet =
          Connections.await(connections.sheetStore().findCurrent(Optional.empty(), deadlineMs))
              .orElseThrow(
                  () -> new CommandException(ExitCode.FAILED, "No sheet has been exported yet."));
      MonthForecast forecast = MonthForecast.of(requestedMonth, LocalDate.now(clock), history);
      return new Forecast(forecast, BASIS, ERROR_BASIS, organisations(sheet));
    }
  }

  private static YearMonth parse(String text) {
    try {
      return YearMonth.parse(text);
    } catch (DateTimeException e) {
      throw new CommandException(
          ExitCode.USAGE, "Invalid --month '" + text + "', expected YYYY-MM.");
    }
  }

  private static List<OrganisationDay> organisations(Sheet sheet) {
    Map<String, ModelEntry> models =
        sheet.models().stream().collect(Collectors.toMap(ModelEntry::name, Function.identity()));
    return sheet.organisations().stream()
        .map(organisation -> OrganisationDay.of(organisation, models))
        .toList();
  }

  /** The daily cost of an organisation under the current sheet. */
  private record OrganisationDay(String organisation, double lowPerDay, double highPerDay) {

    static OrganisationDay of(OrganisationEntry organisation, Map<String, ModelEntry> models) {
      PlannedCost cost = PlannedCost.of(organisation, models);
      return new OrganisationDay(organisation.id(), cost.low(), cost.high());
    }
  }

  /** A forecast with its basis and the meaning of its range. */
  private record Forecast(
      MonthForecast forecast, String basis, String errorBasis, List<OrganisationDay> organisations)
      implements CommandResult {

    @Override
    public String text() {
      TextTable table = new TextTable("organisation", "low/day", "high/day");
      organisations.forEach(
          day -> table.add(day.organisation(), money(day.lowPerDay()), money(day.highPerDay())));
      return forecast.month()
          + ": "
          + money(forecast.estimate())
          + ", from "
          + money(forecast.low())
          + " to "
          + money(forecast.high())
          + "\nbasis: "
          + basis
          + "\nerror: "
          + errorBasis
          + "\ndays: "
          + forecast.daysPast()
          + " past, "
          + forecast.daysAhead()
          + " ahead under the current sheet, "
          + forecast.daysUnknown()
          + " without a recorded sheet, counted as zero cost\n"
          + table;
    }

    private static String money(double amount) {
      return String.format(Locale.ROOT, "%.2f", amount);
    }
  }
}
