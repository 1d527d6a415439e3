package org.sequoiareach.peer;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Message of the failure detector. Each message also carries membership updates, which spread by
 * gossip.
 */
public interface MembershipMessage extends PeerMessage {

  /**
   * Returns the sequence number that correlates a probe with its acknowledgement.
   *
   * @return the number, chosen by the probing daemon
   */
  long sequence();

  /**
   * Returns the membership updates carried by the message.
   *
   * @return the state of some members as the sender knows it
   */
  List<MemberUpdate> updates();

  /**
   * Requests an acknowledgement from a member.
   *
   * @param sequence the sequence number of the probe
   * @param updates membership updates
   * @param sheet the sheet status of the sender
   */
  record Probe(long sequence, List<MemberUpdate> updates, SheetStatus sheet)
      implements MembershipMessage {

    /** Validates the components and copies the lists. */
    public Probe {
      updates = updates == null ? List.of() : List.copyOf(updates);
      Check.notNull(sheet, "sheet");
    }
  }

  /**
   * Acknowledges a probe, sent directly or on behalf of another daemon.
   *
   * @param sequence the sequence number of the probe
   * @param memberId the identity of the member that is alive
   * @param updates membership updates
   * @param sheet the sheet status of the member; empty if another daemon relays the acknowledgement
   */
  record ProbeAck(
      long sequence, String memberId, List<MemberUpdate> updates, Optional<SheetStatus> sheet)
      implements MembershipMessage {

    /** Validates the components and copies the lists. */
    public ProbeAck {
      Check.hasText(memberId, "memberId");
      updates = updates == null ? List.of() : List.copyOf(updates);
      Check.notNull(sheet, "sheet");
    }
  }

  /**
   * Requests that the receiver probe another member.
   *
   * @param sequence the sequence number of the probe
   * @param memberId the identity of the member to probe
   * @param address the IP address and port of that member
   * @param updates membership updates
   */
  record IndirectProbe(long sequence, String memberId, String address, List<MemberUpdate> updates)
      implements MembershipMessage {

    /** Validates the components and copies the lists. */
    public IndirectProbe {
      Check.hasText(memberId, "memberId");
      Check.hasText(address, "address");
      updates = updates == null ? List.of() : List.copyOf(updates);
    }
  }
}
