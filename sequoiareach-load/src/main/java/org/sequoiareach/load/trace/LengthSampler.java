package org.sequoiareach.load.trace;

import java.util.Random;
import org.sequoiareach.load.settings.LengthDistributionSettings;

/** Samples lengths in tokens from a configured distribution, clamped to its bounds. */
final class LengthSampler {

  private LengthSampler() {}

  static int sample(LengthDistributionSettings settings, Random random) {
    double sample =
        switch (settings.distribution()) {
          case FIXED -> settings.median();
          case LOGNORMAL -> settings.median() * Math.exp(settings.shape() * random.nextGaussian());
          case PARETO ->
              settings.median() / Math.pow(1 - random.nextDouble(), 1 / settings.shape());
        };
    return (int) Math.max(settings.least(), Math.min(settings.most(), Math.round(sample)));
  }
}
