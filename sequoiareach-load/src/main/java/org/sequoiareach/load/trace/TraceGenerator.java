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
 * Generates the request trace of a run from its seed.
 *
 * <p>Arrival times and the request mix use separate random sequences, so that the n-th request has
 * the same class, organisation and lengths at every load factor.
 */
public final class TraceGenerator {

  private static final long MIX_SEED_SALT = 0x5DEECE66DL;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  private TraceGenerator() {}

  /**
   * Generates a trace.
   *
   * @param settings the settings of the run
   * @return the requests in order of arrival
   */
  public static List<Arrival> generate(RunSettings settings) {
    Random arrivalRandom = new Random(settings.seed());
    Random mixRandom = new Random(settings.seed() * 31 + MIX_SEED_SALT);
    List<Arrival> trace = new ArrayList<>();
    double endNs = settings.durationMs() * NANOS_PER_MILLI;
    double atNs = nextArrival(0, settings, arrivalRandom);
    while (atNs < endNs && trace.size() < settings.maxRequests()) {
      trace.add(sampleArrival(trace.size(), (long) atNs, settings, mixRandom));
      atNs = nextArrival(atNs, settings, arrivalRandom);
    }
    return trace;
  }

  /** Samples an inhomogeneous Poisson process by thinning a homogeneous one at the peak rate. */
  private static double nextArrival(double fromNs, RunSettings settings, Random random) {
    Arrivals arrivals = settings.arrivals();
    double peakRate = arrivals.peakRate();
    double meanNs = NANOS_PER_SECOND / (peakRate * settings.loadFactor());
    double atNs = fromNs;
    while (true) {
      atNs -= meanNs * Math.log(1 - random.nextDouble());
      double acceptance = arrivals.rateAt(atNs / NANOS_PER_MILLI) / peakRate;
      if (random.nextDouble() < acceptance) {
        return atNs;
      }
    }
  }

  private static Arrival sampleArrival(int number, long atNs, RunSettings settings, Random random) {
    RequestClass requestClass = pickWeighted(settings.classes(), RequestClass::weight, random);
    Organisation organisation =
        pickWeighted(eligibleOrganisations(requestClass, settings), Organisation::weight, random);
    if (!(requestClass instanceof GenerationClass generation)) {
      return new Arrival(number, atNs, requestClass, organisation, 0, 0, false);
    }
    int prompt = LengthSampler.sample(generation.promptTokens(), random);
    int answer = LengthSampler.sample(generation.answerTokens(), random);
    boolean drops = random.nextDouble() < generation.resume().probability();
    return new Arrival(number, atNs, requestClass, organisation, prompt, answer, drops);
  }

  private static List<Organisation> eligibleOrganisations(
      RequestClass requestClass, RunSettings settings) {
    if (requestClass.organisations().isEmpty()) {
      return settings.organisations();
    }
    return settings.organisations().stream()
        .filter(organisation -> requestClass.organisations().contains(organisation.name()))
        .toList();
  }

  private static <T> T pickWeighted(List<T> choices, ToDoubleFunction<T> weight, Random random) {
    double remaining = random.nextDouble() * choices.stream().mapToDouble(weight).sum();
    for (T choice : choices) {
      remaining -= weight.applyAsDouble(choice);
      if (remaining < 0) {
        return choice;
      }
    }
    return choices.get(choices.size() - 1);
  }
}
