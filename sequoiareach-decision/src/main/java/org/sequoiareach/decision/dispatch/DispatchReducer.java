package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.reducer.Reducer;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Decides on routed requests of one daemon: resolves them by the sheet, places them on targets,
 * tries again, refuses, moves runs off engines that leave, and keeps in step with other daemons.
 *
 * <p>Not thread-safe: all events come from the control thread. The two counts may be read from any.
 */
public final class DispatchReducer implements Reducer {

  private final DispatchContext context;
  private final MembershipReducer membership;
  private final MoveRole moves;
  private final CallRole calls;
  private final TargetRole targets;
  private final SpreadRole spread;
  private final LifeRole life;
  private volatile long sheetRevision;
  private volatile int targetCount;

  /**
   * Creates the reducer of a daemon that has just started.
   *
   * @param settings what it needs to know of the daemon and its platform
   * @param member what the membership needs to know of the daemon
   */
  public DispatchReducer(DispatchSettings settings, MembershipSettings member) {
    Check.notNull(settings, "settings");
    Check.notNull(member, "member");
    this.membership = new MembershipReducer(member, nowMs -> SheetStatus.UNKNOWN);
    this.context = new DispatchContext(settings, membership);
    ActiveCalls active = new ActiveCalls(context);
    RunDurations durations = new RunDurations();
    this.moves = new MoveRole(context, active, durations);
    this.calls = new CallRole(context, active, moves, durations);
    this.targets = new TargetRole(context, active, moves);
    this.spread = new SpreadRole(context);
    this.life = new LifeRole(context, active, calls);
  }

  @Override
  public List<Effect> apply(Event event) {
    if (event instanceof DispatchEvent dispatch) {
      applyDispatch(dispatch);
    } else if (event instanceof TimeEvent.Ticked tick) {
      targets.tick(tick.nowMs());
      moves.advance(tick.nowMs());
      calls.tick(tick.nowMs());
      spread.tick(tick.nowMs());
      life.tick(tick.nowMs());
      context.log().addAll(membership.reduce(tick));
    } else if (event instanceof TimeEvent.DrainRequested drain) {
      life.drain(drain);
      context.log().addAll(membership.reduce(drain));
    } else if (event instanceof MembershipEvent || event instanceof PlatformEvent.VmsListed) {
      context.log().addAll(membership.reduce(event));
    }
    sheetRevision = context.sheetRevision();
    targetCount = context.targets().listedCount();
    return context.log().take();
  }

  private void applyDispatch(DispatchEvent event) {
    if (event instanceof DispatchEvent.CallArrived arrived) {
      calls.arrived(arrived);
    } else if (event instanceof DispatchEvent.AnswerStarted started) {
      calls.answerStarted(started);
    } else if (event instanceof DispatchEvent.AnswerDelivered delivered) {
      calls.delivered(delivered);
    } else if (event instanceof DispatchEvent.AttemptFailed failed) {
      calls.attemptFailed(failed);
    } else if (event instanceof DispatchEvent.CallerLeft left) {
      calls.callerLeft(left);
    } else if (event instanceof DispatchEvent.RunCopied copied) {
      moves.runCopied(copied);
    } else if (event instanceof DispatchEvent.SheetLearned learned) {
      spread.sheetLearned(learned);
      life.tick(learned.nowMs());
    } else if (event instanceof DispatchEvent.PeerStateTold told) {
      spread.peerTold(told);
      targets.peerTold(told);
    } else if (event instanceof DispatchEvent.PeerPulled pulled) {
      spread.pulled(pulled);
    } else if (event instanceof DispatchEvent.SettingsChanged changed) {
      context.use(changed.settings());
    } else {
      targets.apply(event);
      life.tick(event.nowMs());
    }
  }

  /**
   * Returns the revision of the sheet in force.
   *
   * @return the revision; 0 before the first sheet
   */
  public long sheetRevision() {
    return sheetRevision;
  }

  /**
   * Returns how many targets are listed.
   *
   * @return the count
   */
  public int targetCount() {
    return targetCount;
  }

  /** Collects the effects of one event. */
  static final class EffectList {

    private List<Effect> effects = new ArrayList<>();

    void add(Effect effect) {
      effects.add(effect);
    }

    void addAll(List<? extends Effect> more) {
      effects.addAll(more);
    }

    List<Effect> take() {
      List<Effect> taken = effects;
      effects = new ArrayList<>();
      return taken;
    }
  }
}
