package org.sequoiareach.client.forecast;

import java.time.LocalDate;
import java.time.YearMonth;
import java.util.Optional;
import org.sequoiareach.store.sheet.PlannedCost;
import org.sequoiareach.store.sheet.SheetHistory;

/**
 * Holds the predicted cost of a month.
 *
 * @param month the month, in UTC
 * @param estimate the middle of the range, in the currency of the sheets
 * @param low the cost if all tokens go to the cheapest models allowed
 * @param high the cost if all tokens go to the dearest models allowed
 * @param daysPast days up to today that went by a known sheet
 * @param daysAhead days after today, counted by the sheet in force
 * @param daysUnknown days up to today of which no sheet is kept, counted as free
 */
record MonthForecast(
    String month,
    double estimate,
    double low,
    double high,
    int daysPast,
    int daysAhead,
    int daysUnknown) {

  /** Adds up the days of a month: past ones by their own sheets, later ones by the last sheet. */
  static MonthForecast of(YearMonth month, LocalDate today, SheetHistory history) {
    PlannedCost total = PlannedCost.NONE;
    int past = 0;
    int ahead = 0;
    int unknown = 0;
    for (int day = 1; day <= month.lengthOfMonth(); day++) {
      LocalDate date = month.atDay(day);
      Optional<SheetHistory.DayPlan> plan = history.findPlanOf(date);
      total = total.plus(plan.map(SheetHistory.DayPlan::cost).orElse(PlannedCost.NONE));
      if (plan.isEmpty()) {
        unknown++;
      } else if (date.isAfter(today)) {
        ahead++;
      } else {
        past++;
      }
    }
    double estimate = (total.low() + total.high()) / 2;
    return new MonthForecast(
        month.toString(), estimate, total.low(), total.high(), past, ahead, unknown);
  }
}
