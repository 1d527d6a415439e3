package org.sequoiareach.decision.reducer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.decision.event.ClaimResult;
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
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OperationEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.ServiceEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Tests that an attempt whose answer has started counts as one that may have run, whatever verdict
 * its end carries. The end may come from the daemon that owns the target.
 */
class StartedAttemptTest {

  private static final long NOW_MS = 1_000;

  private final DecisionReducer reducer = reducer();

  @ParameterizedTest
  @EnumSource(names = {"NO_CAPACITY", "OWNER_FAILED", "NOT_READY", "TARGET_FAILED"})
  void streamThatHasStartedIsNeitherRepeatedNorReportedAsNotRun(Reason reason) {
    start();
    apply(arrival(RequestKind.GENERATION, "m", true, ""));
    List<Effect> effects = endStartedAttempt(reason);
    while (of(effects, Effect.Resume.class).findAny().isPresent()) {
      effects = apply(ended(reason));
    }
    assertThat(of(effects, Effect.Dispatch.class)).isEmpty();
    assertThat(of(effects, Effect.FailRequest.class))
        .extracting(Effect.FailRequest::verdict)
        .containsExactly(Verdict.MAY_HAVE_RUN);
  }

  @ParameterizedTest
  @EnumSource(names = {"NO_CAPACITY", "OWNER_FAILED", "NOT_READY", "TARGET_FAILED"})
  void callThatHasStartedKeepsItsIdempotencyKey(Reason reason) {
    start();
    apply(arrival(RequestKind.SERVICE_CALL, "s", false, "key"));
    apply(new RequestEvent.ClaimAnswered(NOW_MS, "r1", ClaimResult.CLAIMED));
    List<Effect> effects = endStartedAttempt(reason);
    assertThat(of(effects, Effect.Dispatch.class)).isEmpty();
    assertThat(of(effects, Effect.SettleClaim.class))
        .extracting(Effect.SettleClaim::verdict)
        .containsExactly(Verdict.MAY_HAVE_RUN);
    assertThat(of(effects, Effect.FailRequest.class))
        .extracting(Effect.FailRequest::verdict)
        .containsExactly(Verdict.MAY_HAVE_RUN);
  }

  private List<Effect> endStartedAttempt(Reason reason) {
    apply(new RequestEvent.AttemptStarted(NOW_MS, "r1-1", "t0"));
    return apply(ended(reason));
  }

  private static RequestEvent.AttemptEnded ended(Reason reason) {
    Outcome notRun = Outcome.failed(Verdict.NOT_RUN, reason, "reported as not run");
    return new RequestEvent.AttemptEnded(NOW_MS, "r1-1", notRun);
  }

  private static <T extends Effect> Stream<T> of(List<Effect> effects, Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast);
  }

  private void start() {
    apply(new BudgetEvent.DayBegan(NOW_MS, "2026-12-03", Long.MAX_VALUE));
    apply(
        new PlatformEvent.VmsListed(
            NOW_MS,
            NOW_MS,
            List.of(
                new VmEntry("d0", VmKind.DAEMON, "x:1", "z", false, List.of()),
                new VmEntry("t0", VmKind.ENGINE, "x:2", "z", false, List.of("m")),
                new VmEntry("t1", VmKind.ENGINE, "x:3", "z", false, List.of("m")),
                new VmEntry("s0", VmKind.SERVICE, "x:4", "z", false, List.of("s")),
                new VmEntry("s1", VmKind.SERVICE, "x:5", "z", false, List.of("s")))));
    apply(new PlatformEvent.SheetRead(NOW_MS, NOW_MS, sheet()));
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

  private static RequestEvent.RequestArrived arrival(
      RequestKind kind, String resource, boolean repeatable, String key) {
    boolean generation = kind == RequestKind.GENERATION;
    RequestSpec spec =
        new RequestSpec(
            "r1",
            "acme",
            kind,
            resource,
            "",
            repeatable,
            key,
            generation ? 2_000 : 0,
            generation ? 100 : 0,
            List.of(),
            generation);
    return new RequestEvent.RequestArrived(NOW_MS, spec, NOW_MS + 60_000);
  }

  private static Sheet sheet() {
    OrganisationEntry organisation =
        new OrganisationEntry(
            "acme",
            List.of(),
            5,
            List.of("m"),
            List.of("s"),
            new PlanEntry(1_000_000_000, 1_000_000_000),
            new LimitsEntry(1_000, 1_000));
    ModelEntry model = new ModelEntry("m", "1", 32_768, 0, 0);
    ServiceEntry service = new ServiceEntry("s", List.of(new OperationEntry("POST", "/", false)));
    return new Sheet(1, List.of(model), List.of(service), List.of(organisation));
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
