package org.sequoiareach.store.sheet;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Holds the cost of a planned day as a range, as a plan does not say which of an organisation's
 * models its tokens go to.
 *
 * @param low the cost if all goes to the cheapest models, in the currency of the sheet
 * @param high the cost if all goes to the dearest models
 */
public record PlannedCost(double low, double high) {

  /** The cost of a day without a plan. */
  public static final PlannedCost NONE = new PlannedCost(0, 0);

  private static final double TOKENS_PER_PRICE = 1_000_000;

  /**
   * Works out the cost of a day that goes by a sheet.
   *
   * @param sheet the sheet
   * @return the cost of all organisations together
   */
  public static PlannedCost of(Sheet sheet) {
    Map<String, ModelEntry> models =
        sheet.models().stream()
            .collect(Collectors.toMap(ModelEntry::name, Function.identity(), (a, b) -> a));
    return sheet.organisations().stream()
        .map(organisation -> of(organisation, models))
        .reduce(NONE, PlannedCost::plus);
  }

  /**
   * Works out the cost of a day of one organisation.
   *
   * @param organisation the organisation
   * @param models the models by name
   * @return the cost
   */
  public static PlannedCost of(OrganisationEntry organisation, Map<String, ModelEntry> models) {
    double low = Double.MAX_VALUE;
    double high = 0;
    for (String name : organisation.models()) {
      ModelEntry model = models.get(name);
      double cost = model == null ? 0 : cost(organisation.plan(), model);
      low = Math.min(low, cost);
      high = Math.max(high, cost);
    }
    return organisation.models().isEmpty() ? NONE : new PlannedCost(low, high);
  }

  /**
   * Adds another cost.
   *
   * @param other the other cost
   * @return the sum
   */
  public PlannedCost plus(PlannedCost other) {
    return new PlannedCost(low + other.low, high + other.high);
  }

  private static double cost(PlanEntry plan, ModelEntry model) {
    return plan.promptTokensPerDay() / TOKENS_PER_PRICE * model.promptPricePerMillion()
        + plan.completionTokensPerDay() / TOKENS_PER_PRICE * model.completionPricePerMillion();
  }
}
