package org.sequoiareach.model.sheet;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Organisation with its API keys, access rights, planned volume and limits.
 *
 * @param id the identity of the organisation
 * @param keyDigests the digests of its API keys, each {@code sha256:} followed by 64 hexadecimal
 *     digits
 * @param priority the priority of its requests, from 1 (highest) to 9 (lowest)
 * @param models the names of the models it may use
 * @param services the names of the plain services it may call
 * @param plan the planned daily volume
 * @param limits the limits on its request rate and concurrency
 */
public record OrganisationEntry(
    String id,
    List<String> keyDigests,
    int priority,
    List<String> models,
    List<String> services,
    PlanEntry plan,
    LimitsEntry limits) {

  /** The highest priority. */
  public static final int FIRST_PRIORITY = 1;

  /** The lowest priority. */
  public static final int LAST_PRIORITY = 9;

  /** Validates the components and copies the lists. */
  public OrganisationEntry {
    Check.hasText(id, "id");
    Check.inRange(priority, FIRST_PRIORITY, LAST_PRIORITY, "priority");
    keyDigests = keyDigests == null ? List.of() : List.copyOf(keyDigests);
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
    Check.notNull(plan, "plan");
    Check.notNull(limits, "limits");
  }
}
