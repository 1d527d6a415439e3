package org.sequoiareach.load.settings;

import org.sequoiareach.model.Check;

/**
 * Describes one organisation that sends requests.
 *
 * @param name the name shown in reports
 * @param apiKey the bearer key that it sends
 * @param weight its share of the requests, relative to the other organisations
 */
public record Organisation(String name, String apiKey, double weight) {

  /** Checks the parts. */
  public Organisation {
    Check.hasText(name, "name");
    Check.notNull(apiKey, "apiKey");
  }
}
