package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.sequoiareach.decision.limit.PermitDecision;
import org.sequoiareach.decision.limit.PermitPool;
import org.sequoiareach.decision.limit.PermitRateStrategy;
import org.sequoiareach.decision.limit.RateLimitTable;
import org.sequoiareach.decision.limit.ShareLease;
import org.sequoiareach.decision.limit.StatedRateStrategy;
import org.sequoiareach.decision.limit.WarmUpRateStrategy;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipEvent;
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

  /** The interval of reports from engines with a limit, which count as requests. */
  private static final long REPORT_INTERVAL_MS = 2_000;

  /** An age beyond that of any limit in force, so that no such knowledge is replaced. */
  private static final long UNSTATED_AGE_MS = 3_600_000;

  /** The time after which a denied caller finds daemons that agree about the owner of a target. */
  private static final long OTHER_OWNER_RETURN_MS = 500;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final PeerRotation recipients;
  private final PermitOwners owners;
  private final RateLimitTable limits = new RateLimitTable();
  private final Map<String, PermitPool> pools = new HashMap<>();
  private final Map<String, ShareLease> leases = new HashMap<>();
  private final Map<String, Long> nextProbeMs = new HashMap<>();
  private final Map<String, Long> nextReportMs = new HashMap<>();
  private final Set<String> watched = new HashSet<>();
  private final Map<String, TargetRateLimit> changed = new LinkedHashMap<>();
  private long nextRefreshMs;

  LimitHandler(DispatchContext context, ActiveCalls calls) {
    this.context = context;
    this.calls = calls;
    this.owners = new PermitOwners(context.membership());
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
    TargetRateLimit told = event.limit();
    event
        .coldUntilMs()
        .ifPresent(
            untilMs -> context.warmUps().merge(told.targetId(), told.incarnation(), untilMs));
    Optional<Member> asker = context.membership().find(event.daemonId());
    if (asker.isEmpty()) {
      return;
    }
    PermitDecision decision = reserve(event.nowMs(), told.targetId(), event.latestStartMs());
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

  /**
   * Returns whether permits for a cold target are the matter of another daemon. Daemons that avoid
   * different owners would otherwise make each of these issue permits; stated rates are safe from
   * that, because shares are lent to one daemon only. Only the membership counts, on which daemons
   * agree soon: until it has noticed that an owner is lost, nobody issues permits in its place.
   */
  private boolean isOwnedByOther(long nowMs, String targetId) {
    return context
        .targets()
        .find(targetId)
        .filter(target -> isCold(nowMs, target))
        .filter(target -> limits.findInForce(target).isEmpty())
        .flatMap(owners::findByMembership)
        .isPresent();
  }

  void onPermitSpent(DispatchEvent.PermitSpent event) {
    merge(event.nowMs(), event.daemonId(), event.limit());
    findRate(event.nowMs(), event.limit().targetId())
        .ifPresent(
            rate -> poolOf(event.nowMs(), event.limit().targetId()).spend(event.nowMs(), rate));
  }

  void tick(long nowMs) {
    limits.retain(nowMs, id -> context.targets().find(id).isPresent());
    owners.tick(nowMs);
    // A pool starts with a pause, in which a permit for a cold target would be denied.
    context.warmUps().cold(nowMs).forEach(id -> poolOf(nowMs, id));
    forgetUnlimited(nowMs);
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

  /** Returns whether a call needs a permit, as the target states a rate or is cold. */
  boolean isLimited(long nowMs, RoutedTarget target) {
    return limits.findInForce(target).isPresent() || isCold(nowMs, target);
  }

  /** Returns whether a target takes few calls for now because it is cold. */
  boolean isCold(long nowMs, RoutedTarget target) {
    return context.findColdRate(nowMs, target).isPresent();
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
                limits.findInForce(target).orElseGet(() -> unstated(nowMs, target)),
                call.callId(),
                latestStartMs,
                isCold(nowMs, target)
                    ? context.warmUps().findEndMs(nowMs, target)
                    : OptionalLong.empty()));
    return Optional.empty();
  }

  /** Records that the owner of a target did not answer in time. */
  void onOwnerSilent(long nowMs, RoutedTarget target) {
    findOwner(nowMs, target)
        .ifPresent(
            owner -> {
              owners.avoid(nowMs, owner.daemonId());
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
    if (!isLimited(nowMs, target)) {
      return;
    }
    Optional<Member> owner = findOwner(nowMs, target);
    if (owner.isEmpty()) {
      findRate(nowMs, target.id()).ifPresent(rate -> poolOf(nowMs, target.id()).spend(nowMs, rate));
      return;
    }
    context
        .effects()
        .add(
            new DispatchEffect.ReportSpentPermit(
                owner.get().daemonId(),
                owner.get().address(),
                limits.findInForce(target).orElseGet(() -> unstated(nowMs, target))));
  }

  /** Creates the statement that a target states no rate, which replaces no other knowledge. */
  private static TargetRateLimit unstated(long nowMs, RoutedTarget target) {
    return new TargetRateLimit(
        target.id(), target.incarnation(), OptionalDouble.empty(), nowMs - UNSTATED_AGE_MS);
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
        .orElse(isCold(nowMs, target) ? "limit=cold" : "limit=none");
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

  private void forgetUnlimited(long nowMs) {
    for (String targetId : Set.copyOf(watched)) {
      if (!limits.contains(targetId)) {
        watched.remove(targetId);
        context.effects().add(new DispatchEffect.WatchRate(targetId, false));
      }
    }
    Set<String> retained = new HashSet<>(context.warmUps().cold(nowMs));
    retained.addAll(watched);
    pools.keySet().retainAll(retained);
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
    return owners.find(nowMs, target);
  }

  /** Reserves a permit from the pool of this daemon; without a known limit it is granted. */
  private PermitDecision reserve(long nowMs, String targetId, long latestStartMs) {
    if (isOwnedByOther(nowMs, targetId)) {
      return new PermitDecision(false, nowMs + OTHER_OWNER_RETURN_MS);
    }
    return findRate(nowMs, targetId)
        .map(rate -> poolOf(nowMs, targetId).reserve(nowMs, latestStartMs, rate))
        .orElse(new PermitDecision(true, nowMs));
  }

  private Optional<PermitRateStrategy> findRate(long nowMs, String targetId) {
    Optional<PermitRateStrategy> stated =
        limits.all().stream()
            .filter(limit -> limit.targetId().equals(targetId) && limit.isInForce())
            .map(limit -> limit.perSecond().getAsDouble())
            .<PermitRateStrategy>map(StatedRateStrategy::new)
            .findFirst();
    OptionalDouble cold =
        context
            .targets()
            .find(targetId)
            .map(target -> context.findColdRate(nowMs, target))
            .orElse(OptionalDouble.empty());
    if (cold.isEmpty()) {
      return stated;
    }
    PermitRateStrategy warmUp = new WarmUpRateStrategy(cold.getAsDouble());
    return Optional.of(stated.map(warmUp::and).orElse(warmUp));
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
