package org.sequoiareach.model.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Kind of program on a VM. */
public enum VmKind {
  /** A daemon of this system. */
  DAEMON,
  /** A model engine. */
  ENGINE,
  /** A plain service. */
  SERVICE;

  /**
   * Returns the label used in JSON.
   *
   * @return the label, such as {@code engine}
   */
  @JsonValue
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Resolves a label.
   *
   * @param label the label
   * @return the kind
   * @throws IllegalArgumentException if no kind has this label
   */
  @JsonCreator
  public static VmKind fromLabel(String label) {
    return valueOf(label.toUpperCase(Locale.ROOT));
  }
}
