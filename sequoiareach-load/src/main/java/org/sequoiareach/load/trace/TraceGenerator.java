package org.sequoiareach.load.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.sequoiareach.load.settings.Arrivals;
import org.sequoiareach.load.settings.GenerationClass;
import org.sequoiareach.load.settings.Organisation;
import org.sequoiareach.load.settings.RequestClass;
import org.sequoiareach.load.settings.RunSettings;

/**
 * Draws the whole trace of a run from its seed.
 *
 * <p>Arrivals and the mix use separate random sequences, so that the n-th request has the same
 * class, organisation and lengths at every load factor.
 */
public final class TraceGenerator {

  private static final long MIX_SEED_SALT = 0x5DEECE66DL;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  private TraceGenerator() {}

  /**
   * Draws a trace.
   *
   * @param settings the settings of the run
   * @return the requests in the order of their arrival
   */
  public static List<Arrival> generate(RunSettings settings) {
    Random times = new Random(settings.seed());
    Random mix = new Random(settings.seed() * 31 + MIX_SEED_SALT);
    List<Arrival> trace = new ArrayList<>();
    double endNs = settings.durationMs() * NANOS_PER_MILLI;
    double atNs = nextArrival(0, settings, times);
    while (atNs < endNs && trace.size() < settings.maxRequests()) {
      trace.add(draw(trace.size(), (long) atNs, settings, mix));
      atNs = nextArrival(atNs, settings, times);
    }
    return trace;
  }

  /** Draws from a Poisson process whose rate changes, by thinning one at its greatest rate. */
  private static double nextArrival(double fromNs, RunSettings settings, Random random) {
    Arrivals arrivals = settings.arrivals();
    double greatest = arrivals.greatestRate();
    double meanNs = NANOS_PER_SECOND / (greatest * settings.loadFactor());
    double atNs = fromNs;
    while (true) {
      atNs -= meanNs * Math.log(1 - random.nextDouble());
      double kept = arrivals.rateAt(atNs / NANOS_PER_MILLI) / greatest;
      if (random.nextDouble() < kept) {
        return atNs;
      }
    }
  }

  private static Arrival draw(int number, long atNs, RunSettings settings, Random random) {
    RequestClass drawn = pick(settings.classes(), RequestClass::weight, random);
    Organisation organisation = pick(senders(drawn, settings), Organisation::weight, random);
    if (!(drawn instanceof GenerationClass generation)) {
      return new Arrival(number, atNs, drawn, organisation, 0, 0, false);
    }
    int prompt = LengthSampler.sample(generation.promptTokens(), random);
    int answer = LengthSampler.sample(generation.answerTokens(), random);
    boolean drops = random.nextDouble() < generation.resume().probability();
    return new Arrival(number, atNs, drawn, organisation, prompt, answer, drops);
  }

  private static List<Organisation> senders(RequestClass drawn, RunSettings settings) {
    if (drawn.organisations().isEmpty()) {
      return settings.organisations();
    }
    return settings.organisations().stream()
        .filter(organisation -> drawn.organisations().contains(organisation.name()))
        .toList();
  }

  private static <T> T pick(List<T> choices, ToDoubleFunction<T> weight, Random random) {
    double left = random.nextDouble() * choices.stream().mapToDouble(weight).sum();
    for (T choice : choices) {
      left -= weight.applyAsDouble(choice);
      if (left < 0) {
        return choice;
      }
    }
    return choices.get(choices.size() - 1);
  }
}
