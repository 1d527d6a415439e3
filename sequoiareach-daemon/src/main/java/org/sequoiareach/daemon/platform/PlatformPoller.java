package org.sequoiareach.daemon.platform;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.store.sheet.SheetStore;
import org.sequoiareach.store.time.MonotonicClock;
import org.sequoiareach.store.vm.VmList;

/**
 * Reads the sheet and the VM list at fixed periods and when the reducer requests it. Thread-safe.
 */
public final class PlatformPoller implements EffectHandler {

  private static final long SHEET_PERIOD_MS = 2_000;
  private static final long VM_LIST_PERIOD_MS = 1_000;
  private static final long READ_TIMEOUT_MS = 1_500;
  private static final Logger LOGGER = LogManager.getLogger(PlatformPoller.class);

  private final SheetStore sheets;
  private final VmList vmList;
  private final EventSink events;
  private final ScheduledExecutorService timer;
  private final AtomicBoolean readingSheet = new AtomicBoolean();
  private final AtomicBoolean readingVmList = new AtomicBoolean();
  private volatile Optional<Sheet> lastSheet = Optional.empty();

  /**
   * Creates a poller that is not started.
   *
   * @param sheets the sheet store
   * @param vmList the VM list
   * @param events receives events for the reducer
   * @param timer schedules the reads
   */
  public PlatformPoller(
      SheetStore sheets, VmList vmList, EventSink events, ScheduledExecutorService timer) {
    this.sheets = sheets;
    this.vmList = vmList;
    this.events = events;
    this.timer = timer;
  }

  /** Starts reading. */
  public void start() {
    timer.scheduleWithFixedDelay(this::readSheet, 0, SHEET_PERIOD_MS, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(this::readVmList, 0, VM_LIST_PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.ReadPlatform) {
      readSheet();
      readVmList();
    }
  }

  private void readSheet() {
    if (!readingSheet.compareAndSet(false, true)) {
      return;
    }
    long askedMs = MonotonicClock.nowMs();
    sheets
        .findCurrent(lastSheet, askedMs + READ_TIMEOUT_MS)
        .whenComplete(
            (sheet, thrown) -> {
              readingSheet.set(false);
              onSheetRead(askedMs, sheet, thrown);
            });
  }

  private void onSheetRead(long askedMs, Optional<Sheet> sheet, Throwable thrown) {
    long nowMs = MonotonicClock.nowMs();
    if (thrown != null) {
      LOGGER.warn("The sheet could not be read: {}", thrown.toString());
      events.post(new PlatformEvent.SheetReadFailed(nowMs));
      return;
    }
    if (sheet.isEmpty()) {
      return;
    }
    lastSheet = sheet;
    events.post(new PlatformEvent.SheetRead(nowMs, askedMs, sheet.get()));
  }

  private void readVmList() {
    if (!readingVmList.compareAndSet(false, true)) {
      return;
    }
    long askedMs = MonotonicClock.nowMs();
    vmList
        .read(askedMs + READ_TIMEOUT_MS)
        .whenComplete(
            (vms, thrown) -> {
              readingVmList.set(false);
              long nowMs = MonotonicClock.nowMs();
              if (thrown != null) {
                LOGGER.warn("The VM list could not be read: {}", thrown.toString());
                events.post(new PlatformEvent.VmListFailed(nowMs));
                return;
              }
              events.post(new PlatformEvent.VmsListed(nowMs, askedMs, vms));
            });
  }
}
