package org.sequoiareach.decision.sheet;

import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.peer.PeerFrames;
import org.sequoiareach.peer.SheetMessage;

/**
 * Measures how long a new sheet takes to reach all daemons, and the bytes transferred, when only
 * one daemon can read the key-value service.
 */
final class SheetSpreadMeasurement {

  private static final int ORGANISATIONS = 1_000;
  private static final long STEP_MS = 20;
  private static final long TIMEOUT_MS = 60_000;

  private final SheetSimulation simulation;
  private final int daemons;
  private long bytes;

  private SheetSpreadMeasurement(int daemons) {
    this.daemons = daemons;
    this.simulation = new SheetSimulation(daemons, 1);
    simulation.setSheetFactory(SheetSpreadMeasurement::sheet);
    simulation.observe(this::count);
    for (int i = 1; i < daemons; i++) {
      simulation.cutFromService(i, true);
    }
  }

  /** Measures each number of daemons given as an argument and prints one line for it. */
  public static void main(String[] sizes) {
    for (String size : sizes) {
      SheetSpreadMeasurement measurement = new SheetSpreadMeasurement(Integer.parseInt(size));
      String first = measurement.measureSpread(1);
      measurement.simulation.export();
      String second = measurement.measureSpread(2);
      System.out.printf("%s daemons: first sheet %s; one change %s%n", size, first, second);
    }
  }

  private String measureSpread(long version) {
    bytes = 0;
    long elapsedMs = 0;
    while (!allHold(version) && elapsedMs < TIMEOUT_MS) {
      simulation.run(STEP_MS);
      elapsedMs += STEP_MS;
    }
    return "%d ms, %d bytes a daemon".formatted(elapsedMs, bytes / daemons);
  }

  private boolean allHold(long version) {
    for (int i = 0; i < daemons; i++) {
      if (simulation.versionOf(i) < version) {
        return false;
      }
    }
    return true;
  }

  private void count(Effect effect) {
    if (effect instanceof SheetEffect.AnnounceSheet m) {
      bytes += PeerFrames.sizeOf(new SheetMessage.SheetAnnounced(m.status()));
    } else if (effect instanceof SheetEffect.PullSheet m) {
      bytes += PeerFrames.sizeOf(new SheetMessage.SheetPull(m.haveVersion(), m.haveSections()));
    } else if (effect instanceof SheetEffect.SendSheetSections m) {
      bytes +=
          PeerFrames.sizeOf(
              new SheetMessage.SheetSections(m.manifest(), m.catalogue(), m.organisations()));
    }
  }

  private static Sheet sheet(long version) {
    List<OrganisationEntry> organisations = new ArrayList<>();
    for (int i = 0; i < ORGANISATIONS; i++) {
      PlanEntry plan = new PlanEntry(i == 3 ? version : 0, 1_000_000);
      organisations.add(
          new OrganisationEntry(
              "organisation-" + i,
              List.of("sha256:" + "0".repeat(64)),
              1,
              List.of("contract-model"),
              List.of("bookings"),
              plan,
              new LimitsEntry(100, 50)));
    }
    return new Sheet(version, List.of(), List.of(), organisations);
  }
}
