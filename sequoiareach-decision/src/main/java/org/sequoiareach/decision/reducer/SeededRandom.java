package org.sequoiareach.decision.reducer;

import java.util.SplittableRandom;

/** Source of random numbers for decisions; equal seeds produce equal sequences. */
final class SeededRandom {

  private final SplittableRandom random;

  SeededRandom(long seed) {
    this.random = new SplittableRandom(seed);
  }

  long next() {
    return random.nextLong();
  }
}
