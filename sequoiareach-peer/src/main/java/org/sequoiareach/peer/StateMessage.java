package org.sequoiareach.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.TargetUse;

/** Is a message by which daemons that route by a {@link RoutingSheet} keep in step. */
public interface StateMessage extends PeerMessage {

  /**
   * Tells what the sender holds and has in hand.
   *
   * @param sheetRevision the revision of its sheet; 0 for none
   * @param targetsRevision the revision of its list of targets; 0 for none
   * @param uses its use by target
   * @param leaving the targets that it lately saw leave
   */
  record StateTold(
      long sheetRevision, long targetsRevision, Map<String, TargetUse> uses, List<String> leaving)
      implements StateMessage {

    /** Checks and copies the parts. */
    public StateTold {
      Check.inRange(sheetRevision, 0, Long.MAX_VALUE, "sheetRevision");
      Check.inRange(targetsRevision, 0, Long.MAX_VALUE, "targetsRevision");
      uses = uses == null ? Map.of() : Map.copyOf(uses);
      leaving = leaving == null ? List.of() : List.copyOf(leaving);
    }
  }

  /**
   * Asks for what the receiver holds.
   *
   * @param sheet whether its sheet is wanted
   * @param targets whether its list of targets is wanted
   */
  record StatePull(boolean sheet, boolean targets) implements StateMessage {}

  /**
   * Answers a pull.
   *
   * @param sheet the sheet, if it was wanted and there is one
   * @param targets the list of targets, if it was wanted and there is one
   */
  record StateHeld(Optional<RoutingSheet> sheet, Optional<TargetList> targets)
      implements StateMessage {

    /** Checks the parts. */
    public StateHeld {
      Check.notNull(sheet, "sheet");
      Check.notNull(targets, "targets");
    }
  }

  /**
   * Is a list of targets.
   *
   * @param revision its revision
   * @param targets the targets
   */
  record TargetList(long revision, List<RoutedTarget> targets) {

    /** Copies the parts. */
    public TargetList {
      targets = List.copyOf(targets);
    }
  }
}
