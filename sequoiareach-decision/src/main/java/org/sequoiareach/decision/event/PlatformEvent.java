package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.sheet.Sheet;

/** Is something learnt from the platform or from a target about itself. */
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
   * The sheet in force was read from the key-value service.
   *
   * @param nowMs when it was observed
   * @param askedMs when the read was sent; the sheet was in force at this time or later
   * @param sheet the sheet
   */
  record SheetRead(long nowMs, long askedMs, Sheet sheet) implements PlatformEvent {}

  /**
   * The key-value service did not answer a read of the sheet.
   *
   * @param nowMs when it was observed
   */
  record SheetReadFailed(long nowMs) implements PlatformEvent {}

  /**
   * The platform's list of VMs was read.
   *
   * @param nowMs when it was observed
   * @param askedMs when the read was sent
   * @param vms all VMs of the list
   */
  record VmsListed(long nowMs, long askedMs, List<VmEntry> vms) implements PlatformEvent {}

  /**
   * The platform's list of VMs could not be read.
   *
   * @param nowMs when it was observed
   */
  record VmListFailed(long nowMs) implements PlatformEvent {}

  /**
   * An engine told its load.
   *
   * @param nowMs when it was observed
   * @param targetId the engine
   * @param load the report, which lags
   */
  record LoadReported(long nowMs, String targetId, EngineLoad load) implements PlatformEvent {}

  /**
   * An engine did not answer when asked for its load.
   *
   * @param nowMs when it was observed
   * @param targetId the engine
   */
  record LoadFailed(long nowMs, String targetId) implements PlatformEvent {}
}
