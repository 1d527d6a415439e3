package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Model that organisations can use.
 *
 * @param name the name by which callers request the model
 * @param version the model version that targets load
 * @param contextTokens the maximum number of prompt and answer tokens together
 * @param promptPricePerMillion the price of a million prompt tokens, in the billing currency
 * @param completionPricePerMillion the price of a million generated tokens, in the billing currency
 */
public record ModelEntry(
    String name,
    String version,
    int contextTokens,
    double promptPricePerMillion,
    double completionPricePerMillion) {

  /** Validates the components. */
  public ModelEntry {
    Check.hasText(name, "name");
    Check.hasText(version, "version");
    Check.inRange(contextTokens, 1, 10_000_000, "contextTokens");
  }
}
