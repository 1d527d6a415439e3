package org.sequoiareach.store.sheet;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * The cost of one planned day. It is a range because a plan does not specify how an organisation's
 * tokens are divided among its models.
 *
 * @param low the cost if all tokens go to the cheapest models, in the currency of the sheet
 * @param high the cost if all tokens go to the most expensive models, in the same currency
 */
public record PlannedCost(double low, double high) {

  /** The cost of a day for which nothing is planned. */
  public static final PlannedCost NONE = new PlannedCost(0, 0);

  private static final double TOKENS_PER_PRICE_UNIT = 1_000_000;

  /**
   * Computes the cost of a day on which every organisation uses its plan.
   *
   * @param sheet the sheet
   * @return the total cost of all organisations
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
   * Computes the cost of a day on which an organisation uses its plan.
   *
   * @param organisation the organisation
   * @param models the models of the sheet by name
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
   * Returns the sum of this cost and another one.
   *
   * @param other the other cost
   * @return the sum
   */
  public PlannedCost plus(PlannedCost other) {
    return new PlannedCost(low + other.low, high + other.high);
  }

  private static double cost(PlanEntry plan, ModelEntry model) {
    return plan.promptTokensPerDay() / TOKENS_PER_PRICE_UNIT * model.promptPricePerMillion()
        + plan.completionTokensPerDay() / TOKENS_PER_PRICE_UNIT * model.completionPricePerMillion();
  }
}
