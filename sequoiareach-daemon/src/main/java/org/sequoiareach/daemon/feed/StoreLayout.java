package org.sequoiareach.daemon.feed;

import java.util.Optional;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.store.prefix.PrefixEntry;

/**
 * Defines the keys under which the store holds the routing sheet and the targets, and parses their
 * entries. Implementations are thread-safe.
 */
public interface StoreLayout {

  /**
   * Returns the key prefix of the sheet.
   *
   * @return the prefix
   */
  String sheetPrefix();

  /**
   * Returns the key prefix of the targets.
   *
   * @return the prefix
   */
  String targetPrefix();

  /**
   * Parses a routing sheet. Invalid parts are logged and omitted.
   *
   * @param entry an entry under the prefix of the sheet
   * @return the sheet, or empty if the entry does not contain one
   */
  Optional<RoutingSheet> readSheet(PrefixEntry entry);

  /**
   * Returns the availability zone that an entry puts into maintenance for as long as it exists.
   *
   * @param entry an entry under the prefix of the sheet, or its removal
   * @return the zone, or empty if the entry is of another kind
   */
  Optional<String> findMaintenanceZone(PrefixEntry entry);

  /**
   * Parses a target. An invalid entry is logged.
   *
   * @param entry an entry under the prefix of the targets
   * @return the target, or empty if the entry does not describe a usable one
   */
  Optional<RoutedTarget> readTarget(PrefixEntry entry);

  /**
   * Returns the id of the target that a key stands for.
   *
   * @param key a key under the prefix of the targets
   * @return the target id
   */
  String targetIdOf(String key);
}
