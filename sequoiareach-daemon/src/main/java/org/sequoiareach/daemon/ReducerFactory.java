package org.sequoiareach.daemon;

import org.sequoiareach.daemon.settings.DaemonSettings;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.placement.AdmissionSettings;
import org.sequoiareach.decision.policy.Policy;
import org.sequoiareach.decision.policy.StrategyFactory;
import org.sequoiareach.decision.reducer.DecisionReducer;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.decision.sheet.SheetGuardSettings;
import org.sequoiareach.model.request.RequestKind;

/** Creates the reducer that a daemon's settings ask for. */
final class ReducerFactory {

  /** How old the confirmation of a sheet may be; a change is in force within this time. */
  private static final long SHEET_BOUND_MS = 15_000;

  private final DaemonSettings settings;
  private final long incarnation;

  ReducerFactory(DaemonSettings settings, long incarnation) {
    this.settings = settings;
    this.incarnation = incarnation;
  }

  DecisionReducer create(String peerAddress) {
    String daemonId = settings.daemonId();
    long seed = settings.seed().orElse(incarnation) + daemonId.hashCode();
    Policy policy = Policy.fromLabel(settings.policy().name());
    StrategyFactory factory = new StrategyFactory(policy, AdmissionSettings.defaults());
    String runId = daemonId + "-" + Long.toString(incarnation, Character.MAX_RADIX);
    ReducerSettings usual = ReducerSettings.defaults(daemonId, runId, settings.zone(), seed);
    MembershipSettings members =
        new MembershipSettings(daemonId, peerAddress, settings.zone(), incarnation, seed);
    SheetGuardSettings guard =
        new SheetGuardSettings(daemonId, SHEET_BOUND_MS, usual.pauseBoundMs(), seed);
    return new DecisionReducer(
        usual,
        new GroupReducer(new GroupSettings(members, guard)),
        factory.createRouting(),
        new LeastOutstandingRouting(),
        targetId -> factory.createAdmission(targetId, RequestKind.GENERATION));
  }
}
