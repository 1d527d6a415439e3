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

/** Creates the reducer of a daemon from its settings. */
final class ReducerFactory {

  /**
   * The maximum age of the confirmation of a sheet. A changed sheet takes effect on every daemon
   * within this time.
   */
  private static final long MAX_SHEET_CONFIRMATION_AGE_MS = 15_000;

  private final DaemonSettings settings;
  private final long incarnation;

  ReducerFactory(DaemonSettings settings, long incarnation) {
    this.settings = settings;
    this.incarnation = incarnation;
  }

  /** Creates the reducer of a daemon that listens for peers on the given address. */
  DecisionReducer create(String peerAddress) {
    String daemonId = settings.daemonId();
    long seed = settings.seed().orElse(incarnation) + daemonId.hashCode();
    Policy policy = Policy.fromLabel(settings.policy().name());
    StrategyFactory factory = new StrategyFactory(policy, AdmissionSettings.defaults());
    String runId = daemonId + "-" + Long.toString(incarnation, Character.MAX_RADIX);
    ReducerSettings reducerSettings =
        ReducerSettings.defaults(daemonId, runId, settings.zone(), seed);
    MembershipSettings members =
        new MembershipSettings(daemonId, peerAddress, settings.zone(), incarnation, seed);
    SheetGuardSettings guard =
        new SheetGuardSettings(
            daemonId, MAX_SHEET_CONFIRMATION_AGE_MS, reducerSettings.pauseBoundMs(), seed);
    return new DecisionReducer(
        reducerSettings,
        new GroupReducer(new GroupSettings(members, guard)),
        factory.createRouting(),
        new LeastOutstandingRouting(),
        targetId -> factory.createAdmission(targetId, RequestKind.GENERATION));
  }
}
