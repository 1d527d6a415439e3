package org.sequoiareach.load.settings;

import org.sequoiareach.model.Check;

/**
 * Configures an organisation that sends requests.
 *
 * @param name the name shown in reports
 * @param apiKey the API key, sent as a bearer token
 * @param weight the share of requests, relative to the other organisations
 */
public record Organisation(String name, String apiKey, double weight) {

  /** Validates the components. */
  public Organisation {
    Check.hasText(name, "name");
    Check.notNull(apiKey, "apiKey");
  }
}
