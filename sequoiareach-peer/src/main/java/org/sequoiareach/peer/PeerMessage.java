package org.sequoiareach.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Message from one daemon to another.
 *
 * <p>On the wire a message is an array of its type number and its fields in declaration order. For
 * compatibility between versions, type numbers are never reused for another message and new fields
 * are only appended.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = KeepAlive.class, name = "1"),
  @JsonSubTypes.Type(value = AttemptMessage.OpenAttempt.class, name = "10"),
  @JsonSubTypes.Type(value = AttemptMessage.AttemptHead.class, name = "11"),
  @JsonSubTypes.Type(value = AttemptMessage.AttemptData.class, name = "12"),
  @JsonSubTypes.Type(value = AttemptMessage.AttemptEnd.class, name = "13"),
  @JsonSubTypes.Type(value = AttemptMessage.AttemptRejected.class, name = "14"),
  @JsonSubTypes.Type(value = AttemptMessage.CancelAttempt.class, name = "15"),
  @JsonSubTypes.Type(value = AttemptMessage.GrantCredit.class, name = "16"),
  @JsonSubTypes.Type(value = MembershipMessage.Probe.class, name = "20"),
  @JsonSubTypes.Type(value = MembershipMessage.ProbeAck.class, name = "21"),
  @JsonSubTypes.Type(value = MembershipMessage.IndirectProbe.class, name = "22"),
  @JsonSubTypes.Type(value = SheetMessage.SheetAnnounced.class, name = "30"),
  @JsonSubTypes.Type(value = SheetMessage.SheetPull.class, name = "31"),
  @JsonSubTypes.Type(value = SheetMessage.SheetSections.class, name = "32"),
  @JsonSubTypes.Type(value = SheetMessage.SheetStatusAsked.class, name = "33"),
  @JsonSubTypes.Type(value = SheetMessage.SheetStatusAnswered.class, name = "34"),
  @JsonSubTypes.Type(value = StateMessage.StateAnnouncement.class, name = "40"),
  @JsonSubTypes.Type(value = StateMessage.StatePull.class, name = "41"),
  @JsonSubTypes.Type(value = StateMessage.StateSnapshot.class, name = "42"),
  @JsonSubTypes.Type(value = StateMessage.StoreNewsAnnouncement.class, name = "43"),
  @JsonSubTypes.Type(value = LimitMessage.LimitsAnnouncement.class, name = "50"),
  @JsonSubTypes.Type(value = LimitMessage.ShareLoan.class, name = "51"),
  @JsonSubTypes.Type(value = LimitMessage.PermitRequest.class, name = "52"),
  @JsonSubTypes.Type(value = LimitMessage.PermitResponse.class, name = "53"),
  @JsonSubTypes.Type(value = LimitMessage.SpentPermit.class, name = "54"),
  @JsonSubTypes.Type(value = QuarantineMessage.CrashAnnouncement.class, name = "60"),
  @JsonSubTypes.Type(value = QuarantineMessage.QuarantineAnnouncement.class, name = "61")
})
public interface PeerMessage {}
