package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.sheet.SheetDigest;
import org.sequoiareach.model.sheet.SheetStatus;
import org.sequoiareach.peer.MembershipMessage;
import org.sequoiareach.peer.PeerFrames;

/** Measures traffic, failure detection time and processing time of the membership protocol. */
final class MembershipMeasurement {

  /** Two handshakes and the headers of twelve TCP segments, counted for the opening side. */
  static final int CONNECTION_BYTES = 2 * 120 + 12 * 40 + 2 * 20;

  private static final SheetStatus SHEET =
      new SheetStatus(new SheetDigest(1_234, 0x123456789abcdefL), true, OptionalLong.of(4_321));
  private static final int WARM_UP_SECONDS = 20;
  private static final int STEADY_SECONDS = 60;

  private final MembershipSimulation simulation;
  private final int daemons;
  private long frameBytes;
  private long probes;

  MembershipMeasurement(int daemons, long seed) {
    this.daemons = daemons;
    this.simulation = new MembershipSimulation(daemons, seed);
    simulation.observe(this::count);
  }

  /** Measures each number of daemons given as an argument and prints one line for it. */
  public static void main(String[] sizes) {
    for (String size : sizes) {
      MembershipMeasurement measurement = new MembershipMeasurement(Integer.parseInt(size), 1);
      System.out.println(measurement.report());
    }
  }

  /** Returns the bytes sent per daemon and second without changes, connection overhead included. */
  double steadyBytesPerSecond() {
    simulation.run(WARM_UP_SECONDS * 1_000L);
    return bytesPerSecond(STEADY_SECONDS);
  }

  private double bytesPerSecond(int seconds) {
    frameBytes = 0;
    probes = 0;
    simulation.run(seconds * 1_000L);
    return (double) (frameBytes + probes * CONNECTION_BYTES) / seconds / daemons;
  }

  private String report() {
    final double steady = steadyBytesPerSecond();
    final double frames = (double) frameBytes / STEADY_SECONDS / daemons;
    long startNs = System.nanoTime();
    simulation.run(STEADY_SECONDS * 1_000L);
    final double processingMicros = (System.nanoTime() - startNs) / 1e3 / STEADY_SECONDS / daemons;
    List<Long> suspected = new ArrayList<>();
    List<Long> dead = new ArrayList<>();
    int rounds = Math.min(5, daemons / 2);
    for (int i = 0; i < rounds; i++) {
      String stopped = MembershipSimulation.id(i);
      simulation.stop(stopped);
      suspected.add(simulation.runUntilAllSee(stopped, MemberState.SUSPECT, 20_000));
      dead.add(suspected.get(i) + simulation.runUntilAllSee(stopped, MemberState.DEAD, 60_000));
    }
    double churn = churnBytesPerSecond(rounds);
    return ("%d daemons: %.0f B/s steady (%.0f in frames), %.0f B/s with one stopping every 2 s,"
            + " suspected by all after %s ms, dead for all after %s ms, %.0f us/s in this run")
        .formatted(daemons, steady, frames, churn, suspected, dead, processingMicros);
  }

  private double churnBytesPerSecond(int firstRunning) {
    int stops = Math.min(10, daemons / 3);
    long bytes = 0;
    for (int i = 0; i < stops; i++) {
      simulation.stop(MembershipSimulation.id(firstRunning + i));
      bytes += (long) bytesPerSecond(2);
    }
    return (double) bytes / stops;
  }

  private void count(Effect effect) {
    if (effect instanceof MembershipEffect.SendProbe probe) {
      probes++;
      frameBytes +=
          PeerFrames.sizeOf(new MembershipMessage.Probe(probe.sequence(), probe.updates(), SHEET));
    } else if (effect instanceof MembershipEffect.SendProbeAck ack) {
      frameBytes +=
          PeerFrames.sizeOf(
              new MembershipMessage.ProbeAck(
                  ack.sequence(), ack.memberId(), ack.updates(), Optional.of(SHEET)));
    } else if (effect instanceof MembershipEffect.SendIndirectProbe asked) {
      probes++;
      frameBytes +=
          PeerFrames.sizeOf(
              new MembershipMessage.IndirectProbe(
                  asked.sequence(), asked.memberId(), asked.memberAddress(), asked.updates()));
    }
  }
}
