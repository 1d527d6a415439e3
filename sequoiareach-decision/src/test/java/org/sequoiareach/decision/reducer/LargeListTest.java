package org.sequoiareach.decision.reducer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.placement.AdmissionSettings;
import org.sequoiareach.decision.policy.Policy;
import org.sequoiareach.decision.policy.StrategyFactory;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.decision.sheet.SheetGuardSettings;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Tests routing with VM lists of up to 1000 targets.
 *
 * <p>Above {@link TargetSelector#MAX_CANDIDATES} targets the selector works on a sample. The sample
 * must still contain the target that holds the prompt prefix and must leave out targets that
 * reported that they are leaving.
 */
class LargeListTest {

  private static final long NOW_MS = 1_000;
  private final DecisionReducer reducer = reducer();

  @ParameterizedTest
  @ValueSource(ints = {10, TargetSelector.MAX_CANDIDATES, 1_000})
  void routesRepeatedPrefixToSameTargetAtAnyListSize(int targets) {
    start(targets);
    String first = routed(apply(arrival("r1")));
    assertThat(routed(apply(arrival("r2")))).isEqualTo(first);
  }

  @Test
  void unchangedListIsAppliedAgainOnlyAfterLeavingReport() {
    TargetRegistry targets = new TargetRegistry(() -> true);
    assertThat(targets.isChanged(listed(3).vms())).isTrue();
    targets.replace(listed(3).vms());
    assertThat(targets.isChanged(listed(3).vms())).isFalse();
    assertThat(targets.isChanged(listed(4).vms())).isTrue();
    targets.recordLoad("t0", load(false));
    assertThat(targets.isChanged(listed(3).vms())).isFalse();
    targets.recordLoad("t0", load(true));
    assertThat(targets.isChanged(listed(3).vms())).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 1_000})
  void routesNothingToTargetThatReportedLeavingWhileListIsUnchanged(int targets) {
    start(targets);
    for (int i = 0; i < targets - 1; i++) {
      apply(new PlatformEvent.LoadReported(NOW_MS, "t" + i, load(true)));
    }
    String last = "t" + (targets - 1);
    assertThat(routed(apply(arrival("r1")))).isEqualTo(last);
    apply(new PlatformEvent.LoadReported(NOW_MS, last, load(true)));
    List<Effect> effects = apply(listed(targets));
    assertThat(effects)
        .filteredOn(Effect.PollLoads.class::isInstance)
        .allMatch(effect -> ((Effect.PollLoads) effect).addresses().isEmpty())
        .hasSize(1);
    assertThat(routed(apply(arrival("r2")))).isEmpty();
  }

  private void start(int targets) {
    apply(new BudgetEvent.DayBegan(NOW_MS, "2026-12-03", Long.MAX_VALUE));
    apply(listed(targets));
    apply(new PlatformEvent.SheetRead(NOW_MS, NOW_MS, sheet()));
  }

  /** Applies an event and grants in full every ledger entry that results from it. */
  private List<Effect> apply(Event event) {
    List<Effect> effects = new ArrayList<>(reducer.apply(event));
    for (Effect effect : List.copyOf(effects)) {
      if (effect instanceof Effect.WriteLedger write) {
        effects.addAll(apply(granted(write)));
      }
    }
    return effects;
  }

  private static BudgetEvent.LedgerWritten granted(Effect.WriteLedger write) {
    return new BudgetEvent.LedgerWritten(
        NOW_MS, write.organisation(), write.day(), write.entry().amount());
  }

  private static String routed(List<Effect> effects) {
    return effects.stream()
        .filter(Effect.Dispatch.class::isInstance)
        .map(effect -> ((Effect.Dispatch) effect).targetId())
        .findFirst()
        .orElse("");
  }

  private static PlatformEvent.VmsListed listed(int targets) {
    List<VmEntry> vms = new ArrayList<>();
    vms.add(new VmEntry("d0", VmKind.DAEMON, "x:1", "z", false, List.of()));
    for (int i = 0; i < targets; i++) {
      vms.add(new VmEntry("t" + i, VmKind.ENGINE, "x:2", "z", false, List.of("m")));
    }
    return new PlatformEvent.VmsListed(NOW_MS, NOW_MS, vms);
  }

  private static RequestEvent.RequestArrived arrival(String id) {
    RequestSpec spec =
        new RequestSpec(
            id,
            "acme",
            RequestKind.GENERATION,
            "m",
            "draft",
            true,
            "",
            2_000,
            100,
            List.of(1L, 2L),
            true);
    return new RequestEvent.RequestArrived(NOW_MS, spec, NOW_MS + 60_000);
  }

  private static EngineLoad load(boolean leaving) {
    return new EngineLoad(20_000, 0, 16, 0, 0, 0, 1, 20, leaving, List.of("m"));
  }

  private static Sheet sheet() {
    OrganisationEntry organisation =
        new OrganisationEntry(
            "acme",
            List.of(),
            5,
            List.of("m"),
            List.of(),
            new PlanEntry(1_000_000_000, 1_000_000_000),
            new LimitsEntry(1_000, 1_000));
    ModelEntry model = new ModelEntry("m", "1", 32_768, 0, 0);
    return new Sheet(1, List.of(model), List.of(), List.of(organisation));
  }

  private static DecisionReducer reducer() {
    StrategyFactory factory =
        new StrategyFactory(Policy.EXPECTED_MEMORY, AdmissionSettings.defaults());
    return new DecisionReducer(
        ReducerSettings.defaults("d0", "run", "z", 1),
        new GroupReducer(
            new GroupSettings(
                new MembershipSettings("d0", "x:1", "z", 1, 1),
                new SheetGuardSettings("d0", 15_000, 2_000, 1))),
        factory.createRouting(),
        new LeastOutstandingRouting(),
        id -> factory.createAdmission(id, RequestKind.GENERATION));
  }
}
