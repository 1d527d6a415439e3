package org.sequoiareach.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.FleetState;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.StoreNews;
import org.sequoiareach.model.route.TargetOutcomes;
import org.sequoiareach.model.route.TargetUse;
import org.sequoiareach.model.route.ZoneMaintenance;

/**
 * Message that synchronizes the {@link RoutingSheet}, the target list and the target use between
 * daemons.
 */
public interface StateMessage extends PeerMessage {

  /**
   * Announces the revisions that the sender holds and its current use of the targets.
   *
   * @param sheetRevision the revision of the sender's sheet; 0 if it has none
   * @param targetsRevision the revision of the sender's target list; 0 if it has none
   * @param uses the sender's use of each target, by target identity
   * @param leaving the identities of targets that the sender recently saw leaving
   * @param outcomes the sender's recent outcomes of the targets that failed, by target identity
   * @param sheetVersion the version of the sender's sheet; 0 if it has none
   * @param sum whether uses and outcomes are those of all daemons but the receiver
   * @param daemons the highest number of daemons that the sender has seen alive at once
   * @param fleet what the sender tells beside; summed up like uses and outcomes
   */
  record StateAnnouncement(
      long sheetRevision,
      long targetsRevision,
      Map<String, TargetUse> uses,
      List<String> leaving,
      Map<String, TargetOutcomes> outcomes,
      long sheetVersion,
      boolean sum,
      int daemons,
      FleetState fleet)
      implements StateMessage {

    /** Validates the components and copies the collections. */
    public StateAnnouncement {
      Check.inRange(sheetRevision, 0, Long.MAX_VALUE, "sheetRevision");
      Check.inRange(targetsRevision, 0, Long.MAX_VALUE, "targetsRevision");
      uses = uses == null ? Map.of() : Map.copyOf(uses);
      leaving = leaving == null ? List.of() : List.copyOf(leaving);
      outcomes = outcomes == null ? Map.of() : Map.copyOf(outcomes);
      fleet = fleet == null ? FleetState.NONE : fleet;
    }
  }

  /**
   * Passes on what the sender learned of the store.
   *
   * @param sentMs when it was sent, in milliseconds of the sender's monotonic clock
   * @param news what the sender learned
   */
  record StoreNewsAnnouncement(long sentMs, StoreNews news) implements StateMessage {

    /** Validates the components. */
    public StoreNewsAnnouncement {
      Check.notNull(news, "news");
    }
  }

  /**
   * Requests the receiver's state.
   *
   * @param sheet whether the sheet is requested
   * @param targets whether the target list is requested
   */
  record StatePull(boolean sheet, boolean targets) implements StateMessage {}

  /**
   * Response to a {@link StatePull}.
   *
   * @param sheet the sheet, if it was requested and the sender has one
   * @param targets the target list, if it was requested and the sender has one
   * @param maintenance the zones in maintenance, if the sender knows them
   */
  record StateSnapshot(
      Optional<RoutingSheet> sheet,
      Optional<TargetList> targets,
      Optional<ZoneMaintenance> maintenance)
      implements StateMessage {

    /** Validates the components; an earlier version of a daemon does not send the last one. */
    public StateSnapshot {
      Check.notNull(sheet, "sheet");
      Check.notNull(targets, "targets");
      maintenance = maintenance == null ? Optional.empty() : maintenance;
    }
  }

  /**
   * Target list with its revision.
   *
   * @param revision the revision of the list
   * @param targets the targets
   */
  record TargetList(long revision, List<RoutedTarget> targets) {

    /** Copies the lists. */
    public TargetList {
      targets = List.copyOf(targets);
    }
  }
}
