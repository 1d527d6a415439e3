package org.sequoiareach.model.sheet;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Describes one organisation: its keys, what it may use, and what is planned for it.
 *
 * @param id the organisation's identity
 * @param keyDigests the digests of its keys, each {@code sha256:} and 64 hexadecimal digits
 * @param priority the priority of its requests, from 1 (served first) to 9
 * @param models the names of the models it may use
 * @param services the names of the plain services it may call
 * @param plan the volume planned for a day
 * @param limits the bounds on what it may ask at a time
 */
public record OrganisationEntry(
    String id,
    List<String> keyDigests,
    int priority,
    List<String> models,
    List<String> services,
    PlanEntry plan,
    LimitsEntry limits) {

  /** The priority served first. */
  public static final int FIRST_PRIORITY = 1;

  /** The priority served last. */
  public static final int LAST_PRIORITY = 9;

  /** Checks and copies the parts. */
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
