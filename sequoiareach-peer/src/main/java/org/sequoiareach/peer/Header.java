package org.sequoiareach.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.sequoiareach.model.Check;

/**
 * HTTP header.
 *
 * @param name the name
 * @param value the value
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Header(String name, String value) {

  /** Validates the components. */
  public Header {
    Check.hasText(name, "name");
    Check.notNull(value, "value");
  }
}
