package org.sequoiareach.store.sheet;

import java.time.LocalDate;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sequoiareach.model.Check;

/**
 * Holds the planned cost of the latest sheet of each recent day.
 *
 * @param days one entry a day on which a sheet was exported, oldest first
 */
public record SheetHistory(List<DayPlan> days) {

  /** The history before the first export. */
  public static final SheetHistory EMPTY = new SheetHistory(List.of());

  /** Days kept: two months. */
  private static final int KEPT_DAYS = 62;

  /** Copies the parts. */
  public SheetHistory {
    days = List.copyOf(days);
  }

  /**
   * Holds the plan of one day.
   *
   * @param date the day, in UTC, such as {@code 2026-12-03}
   * @param version the version of its latest sheet
   * @param cost the planned cost of a day that goes by this sheet
   */
  public record DayPlan(String date, long version, PlannedCost cost) {

    /** Checks the parts. */
    public DayPlan {
      LocalDate.parse(Check.hasText(date, "date"));
      Check.notNull(cost, "cost");
    }
  }

  /**
   * Adds the sheet of a day, in place of an earlier one of the same day.
   *
   * @param plan the plan
   * @return the longer history, without days that are too old to be kept
   */
  public SheetHistory with(DayPlan plan) {
    List<DayPlan> all =
        Stream.concat(days.stream().filter(day -> !day.date().equals(plan.date())), Stream.of(plan))
            .sorted(Comparator.comparing(DayPlan::date))
            .toList();
    return new SheetHistory(all.subList(Math.max(0, all.size() - KEPT_DAYS), all.size()));
  }

  /**
   * Finds the plan that a day went by.
   *
   * @param date the day, in UTC
   * @return the latest plan of that day or before it; empty where none is kept
   */
  public Optional<DayPlan> findPlanOf(LocalDate date) {
    return days.stream()
        .filter(day -> day.date().compareTo(date.toString()) <= 0)
        .reduce((earlier, later) -> later);
  }
}
