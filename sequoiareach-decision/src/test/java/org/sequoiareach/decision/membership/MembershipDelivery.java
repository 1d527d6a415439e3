package org.sequoiareach.decision.membership;

import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;

/** Translates the messages of one reducer into the events of another, for simulations. */
public final class MembershipDelivery {

  private MembershipDelivery() {}

  /**
   * Delivers an effect if it is a message to another daemon.
   *
   * @param effect the effect
   * @param from the identity of the daemon that sends it
   * @param network receives the identity of the receiver and its event, given the time of arrival
   */
  public static void deliver(
      Effect effect, String from, BiConsumer<String, LongFunction<Event>> network) {
    if (effect instanceof MembershipEffect.SendProbe probe) {
      network.accept(
          probe.daemonId(),
          at ->
              new MembershipEvent.ProbeReceived(
                  at, from, probe.sequence(), probe.updates(), probe.sheet()));
    } else if (effect instanceof MembershipEffect.SendProbeAck ack) {
      network.accept(
          ack.daemonId(),
          at ->
              new MembershipEvent.ProbeAcked(
                  at, from, ack.sequence(), ack.memberId(), ack.updates(), ack.sheet()));
    } else if (effect instanceof MembershipEffect.SendIndirectProbe probe) {
      network.accept(
          probe.daemonId(),
          at ->
              new MembershipEvent.IndirectProbeRequested(
                  at,
                  from,
                  probe.sequence(),
                  probe.memberId(),
                  probe.memberAddress(),
                  probe.updates()));
    }
  }
}
