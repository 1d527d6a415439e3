package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Describes one model on offer.
 *
 * @param name the name callers use
 * @param version the version that targets load
 * @param contextTokens the most tokens of prompt and answer together
 * @param promptPricePerMillion the price of a million prompt tokens, in the currency of the bill
 * @param completionPricePerMillion the price of a million generated tokens, in the same currency
 */
public record ModelEntry(
    String name,
    String version,
    int contextTokens,
    double promptPricePerMillion,
    double completionPricePerMillion) {

  /** Checks the parts. */
  public ModelEntry {
    Check.hasText(name, "name");
    Check.hasText(version, "version");
    Check.inRange(contextTokens, 1, 10_000_000, "contextTokens");
  }
}
