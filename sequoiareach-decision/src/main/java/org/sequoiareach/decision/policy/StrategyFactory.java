package org.sequoiareach.decision.policy;

import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthSettings;
import org.sequoiareach.decision.length.LengthStatistics;
import org.sequoiareach.decision.placement.AdmissionSettings;
import org.sequoiareach.decision.placement.AdmissionStrategy;
import org.sequoiareach.decision.placement.ExpectedMemoryAdmission;
import org.sequoiareach.decision.placement.MaximumLengthAdmission;
import org.sequoiareach.decision.placement.PassThroughAdmission;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.decision.routing.PowerOfTwoChoicesRouting;
import org.sequoiareach.decision.routing.PrefixCacheIndex;
import org.sequoiareach.decision.routing.RoundRobinRouting;
import org.sequoiareach.decision.routing.RoutingStrategy;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.RequestKind;

/**
 * Creates the routing and admission strategies of one policy.
 *
 * <p>The strategies share the answer-length statistics, the index of cached prefixes and the
 * fair-share accounting of this factory.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class StrategyFactory {

  private final Policy policy;
  private final AdmissionSettings settings;
  private final FairShare shares = new FairShare();
  private final PrefixCacheIndex prefixes = new PrefixCacheIndex();
  private final LengthStatistics statistics = new LengthStatistics(LengthSettings.defaults());

  /**
   * Creates a factory for one policy.
   *
   * @param policy the policy
   * @param settings the admission settings
   */
  public StrategyFactory(Policy policy, AdmissionSettings settings) {
    this.policy = Check.notNull(policy, "policy");
    this.settings = Check.notNull(settings, "settings");
  }

  /**
   * Returns the index of cached prefixes, to be updated with the cache events of targets.
   *
   * @return the index shared by the routing strategies of this factory
   */
  public PrefixCacheIndex prefixCacheIndex() {
    return prefixes;
  }

  /**
   * Returns the fair-share accounting, to be configured with the weights of the organisations.
   *
   * @return the accounting shared by the admission strategies of this factory
   */
  public FairShare fairShare() {
    return shares;
  }

  /**
   * Creates the routing strategy of a daemon.
   *
   * @return a new strategy
   */
  public RoutingStrategy createRouting() {
    return switch (policy) {
      case ROUND_ROBIN -> new RoundRobinRouting();
      case LEAST_OUTSTANDING -> new LeastOutstandingRouting();
      case MAX_LENGTH_RESERVATION, EXPECTED_MEMORY -> new PowerOfTwoChoicesRouting(prefixes);
    };
  }

  /**
   * Creates the admission strategy of one target. Targets of service calls have no admission
   * control.
   *
   * @param targetId the target
   * @param kind the kind of requests that the target serves
   * @return a new strategy
   */
  public AdmissionStrategy createAdmission(String targetId, RequestKind kind) {
    if (kind == RequestKind.SERVICE_CALL) {
      return new PassThroughAdmission(targetId);
    }
    return switch (policy) {
      case ROUND_ROBIN, LEAST_OUTSTANDING -> new PassThroughAdmission(targetId);
      case MAX_LENGTH_RESERVATION -> new MaximumLengthAdmission(targetId, settings);
      case EXPECTED_MEMORY -> new ExpectedMemoryAdmission(targetId, settings, statistics, shares);
    };
  }
}
