package org.sequoiareach.client.forecast;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.LocalDate;
import java.time.YearMonth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.store.sheet.PlannedCost;
import org.sequoiareach.store.sheet.SheetHistory;
import org.sequoiareach.store.sheet.SheetHistory.DayPlan;

class MonthForecastTest {

  private static final SheetHistory HISTORY =
      SheetHistory.EMPTY
          .with(new DayPlan("2026-11-29", 3, new PlannedCost(1, 3)))
          .with(new DayPlan("2026-12-02", 4, new PlannedCost(9, 9)))
          .with(new DayPlan("2026-12-02", 5, new PlannedCost(10, 20)));

  @ParameterizedTest
  @CsvSource({
    // One day at 1 to 3, thirty days at 10 to 20.
    "2026-12,301,603,452,3,28,0",
    // Two days at 1 to 3, no recorded sheet for the others.
    "2026-11,2,6,4,2,0,28",
    "2026-10,0,0,0,0,0,31",
    "2027-02,280,560,420,0,28,0"
  })
  void dailyCostComesFromLatestSheetUpToThatDay(
      String month, double low, double high, double estimate, int past, int ahead, int unknown) {
    LocalDate today = LocalDate.parse("2026-12-03");
    assertThat(MonthForecast.of(YearMonth.parse(month), today, HISTORY))
        .isEqualTo(new MonthForecast(month, estimate, low, high, past, ahead, unknown));
  }
}
