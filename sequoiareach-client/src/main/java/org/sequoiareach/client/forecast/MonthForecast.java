package org.sequoiareach.client.forecast;

import java.time.LocalDate;
import java.time.YearMonth;
import java.util.Optional;
import org.sequoiareach.store.sheet.PlannedCost;
import org.sequoiareach.store.sheet.SheetHistory;

/**
 * The forecast cost of a month, in the currency of the sheets.
 *
 * @param month the month, in UTC
 * @param estimate the midpoint of the range
 * @param low the cost if all tokens go to the cheapest allowed models
 * @param high the cost if all tokens go to the most expensive allowed models
 * @param daysPast the number of days up to today with a recorded sheet
 * @param daysAhead the number of days after today, which use the last sheet
 * @param daysUnknown the number of days without a recorded sheet, counted as zero cost
 */
record MonthForecast(
    String month,
    double estimate,
    double low,
    double high,
    int daysPast,
    int daysAhead,
    int daysUnknown) {

  /** Sums the daily costs of a month: past days by their own sheets, later days by the last. */
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
