package org.sequoiareach.daemon;

import org.sequoiareach.daemon.settings.DaemonSettings;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.decision.placement.AdmissionSettings;
import org.sequoiareach.decision.policy.Policy;
import org.sequoiareach.decision.policy.StrategyFactory;
import org.sequoiareach.decision.reducer.DecisionReducer;
import org.sequoiareach.decision.reducer.MembershipOwnership;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.sheet.SheetStatus;

/** Creates the reducer that a daemon's settings ask for. */
final class ReducerFactory {

  private final DaemonSettings settings;
  private final long incarnation;

  ReducerFactory(DaemonSettings settings, long incarnation) {
    this.settings = settings;
    this.incarnation = incarnation;
  }

  DecisionReducer create(String peerAddress) {
    long seed = settings.seed().orElse(incarnation);
    String daemonId = settings.daemonId();
    Policy policy = Policy.fromLabel(settings.policy().name());
    StrategyFactory factory = new StrategyFactory(policy, AdmissionSettings.defaults());
    MembershipSettings members =
        new MembershipSettings(daemonId, peerAddress, settings.zone(), incarnation, seed);
    MembershipReducer membership = new MembershipReducer(members, nowMs -> SheetStatus.UNKNOWN);
    return new DecisionReducer(
        ReducerSettings.usual(daemonId, settings.zone(), seed),
        new MembershipOwnership(daemonId, membership, new RendezvousOwnership()),
        factory.createRouting(),
        new LeastOutstandingRouting(),
        targetId -> factory.createAdmission(targetId, RequestKind.GENERATION));
  }
}
