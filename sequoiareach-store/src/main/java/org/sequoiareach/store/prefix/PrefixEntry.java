package org.sequoiareach.store.prefix;

import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.StorePosition;

/**
 * The write or the removal of one key.
 *
 * @param key the key
 * @param revision the position, see {@link StorePosition}, of the write or removal
 * @param value the value written; empty for a removal
 */
public record PrefixEntry(String key, long revision, Optional<byte[]> value) {

  /** Validates the components. */
  public PrefixEntry {
    Check.hasText(key, "key");
    Check.notNull(value, "value");
  }
}
