package org.sequoiareach.store.prefix;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Is a key as it was written, or its removal.
 *
 * @param key the key
 * @param revision the revision of the write or removal
 * @param value the bytes written; empty for a removal
 */
public record PrefixEntry(String key, long revision, Optional<byte[]> value) {

  /** Checks the parts. */
  public PrefixEntry {
    Check.hasText(key, "key");
    Check.notNull(value, "value");
  }
}
