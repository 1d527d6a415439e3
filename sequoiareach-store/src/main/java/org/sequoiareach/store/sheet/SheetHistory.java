package org.sequoiareach.store.sheet;

import java.time.LocalDate;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sequoiareach.model.Check;

/**
 * The planned cost of the last sheet that was exported on each recent day.
 *
 * @param days one entry per day on which a sheet was exported, oldest first
 */
public record SheetHistory(List<DayPlan> days) {

  /** The history before the first export. */
  public static final SheetHistory EMPTY = new SheetHistory(List.of());

  /** Maximum number of entries, enough for two months of daily exports. */
  private static final int MAX_DAYS = 62;

  /** Copies the list. */
  public SheetHistory {
    days = List.copyOf(days);
  }

  /**
   * The planned cost of one day.
   *
   * @param date the day, in UTC, such as {@code 2026-12-03}
   * @param version the version of the last sheet exported on that day
   * @param cost the planned cost of a day under this sheet
   */
  public record DayPlan(String date, long version, PlannedCost cost) {

    /** Validates the components. */
    public DayPlan {
      LocalDate.parse(Check.hasText(date, "date"));
      Check.notNull(cost, "cost");
    }
  }

  /**
   * Returns a history with a plan added, which replaces any earlier plan of the same day.
   *
   * @param plan the plan
   * @return the new history, without its oldest entries if it would exceed the maximum size
   */
  public SheetHistory with(DayPlan plan) {
    List<DayPlan> all =
        Stream.concat(days.stream().filter(day -> !day.date().equals(plan.date())), Stream.of(plan))
            .sorted(Comparator.comparing(DayPlan::date))
            .toList();
    return new SheetHistory(all.subList(Math.max(0, all.size() - MAX_DAYS), all.size()));
  }

  /**
   * Finds the plan that applies to a day.
   *
   * @param date the day, in UTC
   * @return the latest plan on or before that day; empty if there is none
   */
  public Optional<DayPlan> findPlanOf(LocalDate date) {
    return days.stream()
        .filter(day -> day.date().compareTo(date.toString()) <= 0)
        .reduce((earlier, later) -> later);
  }
}
