package org.sequoiareach.daemon.feed;

import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.store.prefix.PrefixEntry;

/**
 * {@link StoreLayout} that skips an entry whose reader fails, so that one entry of another writer
 * cannot end or delay the reading of the others. Errors are contained as well: a deeply nested
 * entry may exhaust the stack of the reading thread. Thread-safe.
 */
public final class FaultContainingLayout implements StoreLayout {

  private static final Logger LOGGER = LogManager.getLogger(FaultContainingLayout.class);
  private static final int MAX_LOGGED_CHARACTERS = 200;

  private final StoreLayout layout;

  /**
   * Creates a layout that contains the faults of another one.
   *
   * @param layout the layout that reads the entries
   */
  public FaultContainingLayout(StoreLayout layout) {
    this.layout = Check.notNull(layout, "layout");
  }

  @Override
  public String sheetPrefix() {
    return layout.sheetPrefix();
  }

  @Override
  public String targetPrefix() {
    return layout.targetPrefix();
  }

  @Override
  public Optional<RoutingSheet> readSheet(PrefixEntry entry) {
    return contain(entry, () -> layout.readSheet(entry));
  }

  @Override
  public Optional<String> findMaintenanceZone(PrefixEntry entry) {
    return contain(entry, () -> layout.findMaintenanceZone(entry));
  }

  @Override
  public Optional<RoutedTarget> readTarget(PrefixEntry entry) {
    return contain(entry, () -> layout.readTarget(entry));
  }

  @Override
  public String targetIdOf(String key) {
    return layout.targetIdOf(key);
  }

  private static <T> Optional<T> contain(PrefixEntry entry, Supplier<Optional<T>> reader) {
    try {
      return reader.get();
    } catch (RuntimeException | StackOverflowError e) {
      LOGGER.warn(
          "Skipping the entry of key {} at revision {}, which cannot be read: {}",
          shorten(entry.key()),
          entry.revision(),
          shorten(e.toString()));
      return Optional.empty();
    }
  }

  private static String shorten(String text) {
    return text.length() <= MAX_LOGGED_CHARACTERS
        ? text
        : text.substring(0, MAX_LOGGED_CHARACTERS) + "[cut]";
  }
}
