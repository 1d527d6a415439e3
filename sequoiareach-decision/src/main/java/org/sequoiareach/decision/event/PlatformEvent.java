package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.sheet.Sheet;

/** Event from the platform or from a load report of an engine. */
@JsonSubTypes({
  @JsonSubTypes.Type(PlatformEvent.SheetRead.class),
  @JsonSubTypes.Type(PlatformEvent.SheetReadFailed.class),
  @JsonSubTypes.Type(PlatformEvent.VmsListed.class),
  @JsonSubTypes.Type(PlatformEvent.VmListFailed.class),
  @JsonSubTypes.Type(PlatformEvent.LoadReported.class),
  @JsonSubTypes.Type(PlatformEvent.LoadFailed.class)
})
public interface PlatformEvent extends Event {

  /**
   * The current sheet was read from the key-value service.
   *
   * @param nowMs the time of observation
   * @param askedMs the time at which the read was sent; the sheet was current at that time or later
   * @param sheet the sheet
   */
  record SheetRead(long nowMs, long askedMs, Sheet sheet) implements PlatformEvent {}

  /**
   * The key-value service did not answer a read of the sheet.
   *
   * @param nowMs the time of observation
   */
  record SheetReadFailed(long nowMs) implements PlatformEvent {}

  /**
   * The platform's VM list was read.
   *
   * @param nowMs the time of observation
   * @param askedMs the time at which the read was sent
   * @param vms all VMs in the list
   */
  record VmsListed(long nowMs, long askedMs, List<VmEntry> vms) implements PlatformEvent {}

  /**
   * The platform's VM list could not be read.
   *
   * @param nowMs the time of observation
   */
  record VmListFailed(long nowMs) implements PlatformEvent {}

  /**
   * An engine reported its load.
   *
   * @param nowMs the time of observation
   * @param targetId the engine
   * @param load the reported load, which lags behind the actual load
   */
  record LoadReported(long nowMs, String targetId, EngineLoad load) implements PlatformEvent {}

  /**
   * An engine did not answer a load poll.
   *
   * @param nowMs the time of observation
   * @param targetId the engine
   */
  record LoadFailed(long nowMs, String targetId) implements PlatformEvent {}
}
