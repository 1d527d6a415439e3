package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.decision.limit.PermitDecision;
import org.sequoiareach.decision.limit.PermitPool;
import org.sequoiareach.decision.limit.RateLimitTable;
import org.sequoiareach.decision.limit.ShareLease;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.membership.MembershipView;
import org.sequoiareach.decision.membership.OwnershipStrategy;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetRateLimit;

/**
 * Keeps all daemons together within the rates of requests that targets state: informs other daemons
 * of limits, lends this daemon's shares to the owners of limited targets, and issues permits for
 * the targets that this daemon owns. Not thread-safe.
 */
final class LimitHandler {

  /** The interval at which unchanged limits are told again, for daemons that have missed them. */
  private static final long REFRESH_INTERVAL_MS = 1_000;

  /**
   * The age of the latest answer after which a request is sent to a limited target although others
   * are available, since only an answer shows that the limit has changed or ended.
   */
  private static final long PROBE_INTERVAL_MS = 1_000;

  /** How long an owner that did not answer is not asked again. */
  private static final long OWNER_AVOIDANCE_MS = 3_000;

  /** The interval of reports from engines with a limit, which count as requests. */
  private static final long REPORT_INTERVAL_MS = 2_000;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final PeerRotation recipients;
  private final OwnershipStrategy ownership = new RendezvousOwnership();
  private final RateLimitTable limits = new RateLimitTable();
  private final Map<String, PermitPool> pools = new HashMap<>();
  private final Map<String, ShareLease> leases = new HashMap<>();
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private final Map<String, Long> nextProbeMs = new HashMap<>();
  private final Map<String, Long> nextReportMs = new HashMap<>();
  private final Set<String> watched = new HashSet<>();
  private final Map<String, TargetRateLimit> changed = new LinkedHashMap<>();
  private long nextRefreshMs;
  private MembershipView issuers = new MembershipView(1, List.of());

  LimitHandler(DispatchContext context, ActiveCalls calls) {
    this.context = context;
    this.calls = calls;
    this.recipients = new PeerRotation(context.membership());
  }

  void onRateStated(DispatchEvent.RateStated event) {
    Optional<ActiveCall> call = calls.find(event.callId());
    Optional<SentAttempt> answered = call.flatMap(found -> found.findAttempt(event.attempt()));
    if (answered.isEmpty()) {
      return;
    }
    limits
        .observe(event.nowMs(), answered.get().target(), event.rate(), answered.get().sentAtMs())
        .ifPresent(
            limit ->
                onChanged(event.nowMs(), limit, "answer to " + call.get().profile().requestId()));
  }

  void onLimitsTold(DispatchEvent.LimitsTold event) {
    event.limits().forEach(limit -> merge(event.nowMs(), event.daemonId(), limit));
  }

  void onShareLent(DispatchEvent.ShareLent event) {
    merge(event.nowMs(), event.daemonId(), event.limit());
    poolOf(event.nowMs(), event.limit().targetId())
        .lend(event.nowMs(), event.daemonId(), Math.max(event.daemons(), context.maxDaemons()));
  }

  void onPermitAsked(DispatchEvent.PermitAsked event) {
    merge(event.nowMs(), event.daemonId(), event.limit());
    Optional<Member> asker = context.membership().find(event.daemonId());
    if (asker.isEmpty()) {
      return;
    }
    PermitDecision decision =
        reserve(event.nowMs(), event.limit().targetId(), event.latestStartMs());
    context
        .effects()
        .add(
            new DispatchEffect.AnswerPermit(
                event.daemonId(),
                asker.get().address(),
                event.callId(),
                event.limit().targetId(),
                decision.granted(),
                decision.atMs()));
  }

  void onPermitSpent(DispatchEvent.PermitSpent event) {
    merge(event.nowMs(), event.daemonId(), event.limit());
    findRate(event.limit().targetId())
        .ifPresent(
            rate -> poolOf(event.nowMs(), event.limit().targetId()).spend(event.nowMs(), rate));
  }

  void tick(long nowMs) {
    limits.retain(nowMs, id -> context.targets().find(id).isPresent());
    avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    forgetUnlimited();
    limits.all().stream()
        .filter(TargetRateLimit::isInForce)
        .forEach(limit -> lendShare(nowMs, limit));
    if (!changed.isEmpty()) {
      tell(List.copyOf(changed.values()));
      changed.clear();
    }
    if (nowMs >= nextRefreshMs) {
      nextRefreshMs = nowMs + REFRESH_INTERVAL_MS;
      tell(limits.all());
    }
  }

  /** Returns the number of targets with a limit in force. */
  int inForceCount() {
    return (int) limits.all().stream().filter(TargetRateLimit::isInForce).count();
  }

  boolean isLimited(RoutedTarget target) {
    return limits.findInForce(target).isPresent();
  }

  /** Returns whether a request should be sent to a limited target to learn of its limit. */
  boolean isProbeDue(long nowMs, RoutedTarget target) {
    boolean outdated =
        limits
            .findInForce(target)
            .filter(limit -> nowMs - limit.observedAtMs() >= PROBE_INTERVAL_MS)
            .isPresent();
    return outdated && nowMs >= nextProbeMs.getOrDefault(target.id(), Long.MIN_VALUE);
  }

  /**
   * Requests a permit to send a call to a limited target.
   *
   * @return the decision; empty if the owner of the target was asked, which answers later
   */
  Optional<PermitDecision> request(
      long nowMs, ActiveCall call, RoutedTarget target, long latestStartMs) {
    nextProbeMs.put(target.id(), nowMs + PROBE_INTERVAL_MS);
    TargetRateLimit limit = limits.findInForce(target).orElseThrow();
    Optional<Member> owner = findOwner(nowMs, target);
    if (owner.isEmpty()) {
      return Optional.of(reserve(nowMs, target.id(), latestStartMs));
    }
    context
        .effects()
        .add(
            new DispatchEffect.AskPermit(
                owner.get().daemonId(),
                owner.get().address(),
                limit,
                call.callId(),
                latestStartMs));
    return Optional.empty();
  }

  /** Records that the owner of a target did not answer in time. */
  void onOwnerSilent(long nowMs, RoutedTarget target) {
    findOwner(nowMs, target)
        .ifPresent(
            owner -> {
              avoidedUntilMs.put(owner.daemonId(), nowMs + OWNER_AVOIDANCE_MS);
              // Probed at once, so that the daemons that do not ask it learn of its failure.
              context
                  .effects()
                  .addAll(
                      context
                          .membership()
                          .reduce(new MembershipEvent.PeerConnectionLost(nowMs, owner.daemonId())));
              context.logDecision(
                  "permit-owner-silent", "", "", target.id(), "owner=" + owner.daemonId());
            });
  }

  /** Records a request that is sent to a target although no permit was issued for it. */
  void spend(long nowMs, RoutedTarget target) {
    Optional<TargetRateLimit> limit = limits.findInForce(target);
    if (limit.isEmpty()) {
      return;
    }
    Optional<Member> owner = findOwner(nowMs, target);
    if (owner.isEmpty()) {
      poolOf(nowMs, target.id()).spend(nowMs, limit.get().perSecond().orElseThrow());
      return;
    }
    context
        .effects()
        .add(
            new DispatchEffect.ReportSpentPermit(
                owner.get().daemonId(), owner.get().address(), limit.get()));
  }

  /** Returns whether the owner of an engine may request a report from it. */
  boolean mayReport(long nowMs, RoutedTarget engine) {
    Optional<TargetRateLimit> limit = limits.findInForce(engine);
    if (limit.isEmpty()) {
      return true;
    }
    if (findOwner(nowMs, engine).isPresent()
        || nowMs < nextReportMs.getOrDefault(engine.id(), Long.MIN_VALUE)) {
      return false;
    }
    boolean granted = reserve(nowMs, engine.id(), nowMs).granted();
    if (granted) {
      nextReportMs.put(engine.id(), nowMs + REPORT_INTERVAL_MS);
    }
    return granted;
  }

  /** Describes what is known of a target's limit, for the decision log. */
  String describe(long nowMs, RoutedTarget target) {
    return limits
        .findInForce(target)
        .map(
            limit ->
                "limit="
                    + limit.perSecond().getAsDouble()
                    + "/s age="
                    + (nowMs - limit.observedAtMs())
                    + "ms owner="
                    + findOwner(nowMs, target).map(Member::daemonId).orElse("self"))
        .orElse("limit=none");
  }

  private void merge(long nowMs, String daemonId, TargetRateLimit told) {
    limits.merge(told).ifPresent(limit -> onChanged(nowMs, limit, daemonId));
  }

  private void onChanged(long nowMs, TargetRateLimit limit, String source) {
    context.logDecision(
        limit.isInForce() ? "limit-stated" : "limit-ended",
        "",
        "",
        limit.targetId(),
        "perSecond="
            + (limit.isInForce() ? limit.perSecond().getAsDouble() : "none")
            + " age="
            + (nowMs - limit.observedAtMs())
            + "ms from="
            + source);
    changed.put(limit.targetId(), limit);
    if (watched.add(limit.targetId())) {
      context.effects().add(new DispatchEffect.WatchRate(limit.targetId(), true));
    }
    if (limit.isInForce()) {
      lendShare(nowMs, limit);
    }
  }

  private void forgetUnlimited() {
    for (String targetId : Set.copyOf(watched)) {
      if (!limits.contains(targetId)) {
        watched.remove(targetId);
        context.effects().add(new DispatchEffect.WatchRate(targetId, false));
      }
    }
    pools.keySet().retainAll(watched);
    leases.keySet().retainAll(watched);
    nextProbeMs.keySet().retainAll(watched);
    nextReportMs.keySet().retainAll(watched);
  }

  /** Lends this daemon's share to the owner of a target, which may be this daemon itself. */
  private void lendShare(long nowMs, TargetRateLimit limit) {
    Optional<RoutedTarget> target = context.targets().find(limit.targetId());
    if (target.isEmpty()) {
      return;
    }
    Optional<Member> owner = findOwner(nowMs, target.get());
    ShareLease lease = leases.computeIfAbsent(limit.targetId(), id -> new ShareLease());
    String self = context.membership().selfId();
    if (owner.isPresent() && lease.holder().equals(Optional.of(self))) {
      poolOf(nowMs, limit.targetId()).release(self);
      lease.takeBack();
    }
    if (!lease.tryLend(nowMs, owner.map(Member::daemonId).orElse(self))) {
      return;
    }
    if (owner.isEmpty()) {
      poolOf(nowMs, limit.targetId()).lend(nowMs, self, context.maxDaemons());
      return;
    }
    context
        .effects()
        .add(
            new DispatchEffect.LendShare(
                owner.get().daemonId(), owner.get().address(), limit, context.maxDaemons()));
  }

  /** Returns the other daemon that issues permits for a target; empty if this daemon does. */
  private Optional<Member> findOwner(long nowMs, RoutedTarget target) {
    updateIssuers(nowMs);
    return ownership
        .findOwner(target.id(), target.zone(), issuers)
        .filter(owner -> !context.membership().isSelf(owner.daemonId()));
  }

  /**
   * Updates the daemons that may issue permits: those that own targets, without the ones that are
   * suspected to have failed or did not answer this daemon.
   */
  private void updateIssuers(long nowMs) {
    List<Member> responsive =
        context.membership().view().owners().stream()
            .filter(member -> avoidedUntilMs.getOrDefault(member.daemonId(), nowMs) <= nowMs)
            .filter(member -> !isSuspected(member.daemonId()))
            .toList();
    if (!responsive.equals(issuers.owners())) {
      issuers = new MembershipView(issuers.version() + 1, responsive);
    }
  }

  private boolean isSuspected(String daemonId) {
    return context
        .membership()
        .find(daemonId)
        .filter(member -> member.state() == MemberState.SUSPECT)
        .isPresent();
  }

  /** Reserves a permit from the pool of this daemon; without a known limit it is granted. */
  private PermitDecision reserve(long nowMs, String targetId, long latestStartMs) {
    return findRate(targetId)
        .map(rate -> poolOf(nowMs, targetId).reserve(nowMs, latestStartMs, rate))
        .orElse(new PermitDecision(true, nowMs));
  }

  private Optional<Double> findRate(String targetId) {
    return limits.all().stream()
        .filter(limit -> limit.targetId().equals(targetId) && limit.isInForce())
        .map(limit -> limit.perSecond().getAsDouble())
        .findFirst();
  }

  private PermitPool poolOf(long nowMs, String targetId) {
    return pools.computeIfAbsent(targetId, id -> new PermitPool(nowMs));
  }

  private void tell(List<TargetRateLimit> told) {
    if (told.isEmpty()) {
      return;
    }
    for (Member member : recipients.nextRecipients()) {
      context
          .effects()
          .add(new DispatchEffect.TellLimits(member.daemonId(), member.address(), told));
    }
  }
}
