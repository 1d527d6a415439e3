package org.sequoiareach.peer;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.sheet.SheetStatus;

/** Is a message of the failure detection between daemons; each carries news of other members. */
public interface MembershipMessage extends PeerMessage {

  /**
   * Returns the number that joins a probe and its answer.
   *
   * @return the number, chosen by the daemon that probes
   */
  long sequence();

  /**
   * Returns the news that travels with the message.
   *
   * @return what the sender believes of some members
   */
  List<MemberUpdate> updates();

  /**
   * Asks a member to answer.
   *
   * @param sequence the number of the probe
   * @param updates news of members
   * @param sheet the sheet that the sender holds
   */
  record Probe(long sequence, List<MemberUpdate> updates, SheetStatus sheet)
      implements MembershipMessage {

    /** Checks and copies the parts. */
    public Probe {
      updates = updates == null ? List.of() : List.copyOf(updates);
      Check.notNull(sheet, "sheet");
    }
  }

  /**
   * Answers a probe, one's own or one made for another daemon.
   *
   * @param sequence the number of the probe
   * @param memberId the member that is alive
   * @param updates news of members
   * @param sheet the sheet that the member holds; empty where the answer is passed on for it
   */
  record ProbeAck(
      long sequence, String memberId, List<MemberUpdate> updates, Optional<SheetStatus> sheet)
      implements MembershipMessage {

    /** Checks and copies the parts. */
    public ProbeAck {
      Check.hasText(memberId, "memberId");
      updates = updates == null ? List.of() : List.copyOf(updates);
      Check.notNull(sheet, "sheet");
    }
  }

  /**
   * Asks a member to probe another one.
   *
   * @param sequence the number of the probe
   * @param memberId the member to probe
   * @param address its address
   * @param updates news of members
   */
  record IndirectProbe(long sequence, String memberId, String address, List<MemberUpdate> updates)
      implements MembershipMessage {

    /** Checks and copies the parts. */
    public IndirectProbe {
      Check.hasText(memberId, "memberId");
      Check.hasText(address, "address");
      updates = updates == null ? List.of() : List.copyOf(updates);
    }
  }
}
