package org.sequoiareach.model.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Kind of request that the system routes. */
public enum RequestKind {
  /** A generation on a model engine. */
  GENERATION,
  /** A call to a plain service. */
  SERVICE_CALL;

  /**
   * Returns the label used in logs and JSON.
   *
   * @return the label, such as {@code service-call}
   */
  @JsonValue
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Resolves a label.
   *
   * @param label the label
   * @return the kind
   * @throws IllegalArgumentException if no kind has this label
   */
  @JsonCreator
  public static RequestKind fromLabel(String label) {
    return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
