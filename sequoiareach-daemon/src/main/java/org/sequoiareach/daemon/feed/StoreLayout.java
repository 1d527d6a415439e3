package org.sequoiareach.daemon.feed;

import java.util.Optional;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.store.prefix.PrefixEntry;

/** Says where the store keeps the routing sheet and the targets, and reads them. Thread-safe. */
public interface StoreLayout {

  /**
   * Returns the prefix of the key that holds the sheet.
   *
   * @return the prefix
   */
  String sheetPrefix();

  /**
   * Returns the prefix of the keys that hold targets.
   *
   * @return the prefix
   */
  String targetPrefix();

  /**
   * Reads a sheet. Parts that cannot be read are logged and left out.
   *
   * @param entry an entry under the prefix of the sheet
   * @return the sheet, or empty if the entry holds none
   */
  Optional<RoutingSheet> readSheet(PrefixEntry entry);

  /**
   * Reads a target. An entry that cannot be read is logged.
   *
   * @param entry an entry under the prefix of targets
   * @return the target, or empty if the entry names none that may be used
   */
  Optional<RoutedTarget> readTarget(PrefixEntry entry);

  /**
   * Returns the identity of the target that a key names.
   *
   * @param key a key under the prefix of targets
   * @return the identity
   */
  String targetIdOf(String key);
}
