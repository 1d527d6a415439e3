package org.sequoiareach.decision.reducer;

import java.util.SplittableRandom;

/** Gives the numbers for random choices; equal seeds give equal sequences. */
final class DrawSequence {

  private final SplittableRandom random;

  DrawSequence(long seed) {
    this.random = new SplittableRandom(seed);
  }

  long next() {
    return random.nextLong();
  }
}
