package org.sequoiareach.decision.length;

import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Identifies answers whose lengths are learnt together.
 *
 * @param organisation the organisation
 * @param model the model
 * @param callClass the kind of call within the organisation; empty if unknown
 */
public record LengthKey(String organisation, String model, String callClass) {

  /** Validates the components. */
  public LengthKey {
    Check.hasText(organisation, "organisation");
    Check.hasText(model, "model");
    Check.notNull(callClass, "callClass");
  }

  /**
   * Returns the key of a request.
   *
   * @param spec the request
   * @return the key
   */
  public static LengthKey of(RequestSpec spec) {
    return new LengthKey(spec.organisation(), spec.resource(), spec.callClass());
  }
}
