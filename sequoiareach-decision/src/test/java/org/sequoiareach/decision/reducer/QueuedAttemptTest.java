package org.sequoiareach.decision.reducer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;

/** Tests that only an attempt that still waits at its target's owner is reported as not run. */
class QueuedAttemptTest {

  private static final long NOW_MS = 1_000;

  /** The memory of the engine holds one prompt of this length, but not two. */
  private static final int PROMPT_TOKENS = 10_000;

  private static final EngineLoad LOAD =
      new EngineLoad(1_000, 0, 16, 0, 0, 0, 1, 20, false, List.of("m"));

  private final DecisionReducer reducer = reducer();

  @BeforeEach
  void start() {
    apply(new BudgetEvent.DayBegan(NOW_MS, "2026-12-03", Long.MAX_VALUE));
    apply(listed(false));
    apply(new PlatformEvent.SheetRead(NOW_MS, NOW_MS, sheet()));
    apply(new PlatformEvent.LoadReported(NOW_MS, "t0", LOAD));
  }

  @Test
  void leavingTargetRejectsQueuedForwardedAttemptButNotRunningOne() {
    List<Effect> first = apply(forwarded("r1"));
    List<Effect> second = apply(forwarded("r2"));
    assertThat(of(first, Effect.Dispatch.class)).hasSize(1);
    assertThat(of(second, Effect.Dispatch.class)).isEmpty();
    assertThat(of(apply(listed(true)), Effect.RejectForwarded.class))
        .extracting(Effect.RejectForwarded::attemptId)
        .containsExactly("r2-1");
  }

  /** Guards against a promise of not run for an attempt that was handed to its target. */
  @ParameterizedTest
  @CsvSource({"r1,MAY_HAVE_RUN", "r2,NOT_RUN"})
  void cancelledRequestIsNotRunOnlyIfItsAttemptWasQueued(String requestId, Verdict verdict) {
    assertThat(of(apply(arrival("r1")), Effect.Dispatch.class)).hasSize(1);
    assertThat(of(apply(arrival("r2")), Effect.Dispatch.class)).isEmpty();
    List<Effect> effects = apply(new RequestEvent.RequestCancelled(NOW_MS, requestId));
    assertThat(of(effects, Effect.FailRequest.class))
        .extracting(Effect.FailRequest::verdict)
        .containsExactly(verdict);
  }

  private static <T extends Effect> Stream<T> of(List<Effect> effects, Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast);
  }

  /** Applies an event and grants in full every ledger entry that results from it. */
  private List<Effect> apply(Event event) {
    List<Effect> effects = new ArrayList<>(reducer.apply(event));
    for (Effect effect : List.copyOf(effects)) {
      if (effect instanceof Effect.WriteLedger write) {
        effects.addAll(
            apply(
                new BudgetEvent.LedgerWritten(
                    NOW_MS, write.organisation(), write.day(), write.entry().amount())));
      }
    }
    return effects;
  }

  private static PlatformEvent.VmsListed listed(boolean leaving) {
    VmEntry daemon = new VmEntry("d0", VmKind.DAEMON, "x:1", "z", false, List.of());
    VmEntry engine = new VmEntry("t0", VmKind.ENGINE, "x:2", "z", leaving, List.of("m"));
    return new PlatformEvent.VmsListed(NOW_MS, NOW_MS, List.of(daemon, engine));
  }

  private static RequestEvent.AttemptForwarded forwarded(String requestId) {
    return new RequestEvent.AttemptForwarded(
        NOW_MS, "d1", requestId + "-1", "t0", spec(requestId), 5, 1, NOW_MS + 60_000);
  }

  private static RequestEvent.RequestArrived arrival(String requestId) {
    return new RequestEvent.RequestArrived(NOW_MS, spec(requestId), NOW_MS + 60_000);
  }

  private static RequestSpec spec(String requestId) {
    return new RequestSpec(
        requestId,
        "acme",
        RequestKind.GENERATION,
        "m",
        "",
        true,
        "",
        PROMPT_TOKENS,
        100,
        List.of(),
        true);
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
