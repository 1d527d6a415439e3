package org.sequoiareach.load;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.load.settings.Arrivals;
import org.sequoiareach.load.settings.GenerationClass;
import org.sequoiareach.load.settings.LengthDistributionSettings;
import org.sequoiareach.load.settings.LengthDistributionSettings.Family;
import org.sequoiareach.load.settings.Organisation;
import org.sequoiareach.load.settings.RequestClass;
import org.sequoiareach.load.settings.ResumeSettings;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.ServiceCallClass;
import org.sequoiareach.load.settings.Targets;

/** Factory of small run settings for tests. */
public final class TestSettings {

  /** The default organisation. */
  public static final Organisation SHOP = new Organisation("shop", "key-shop", 3);

  private TestSettings() {}

  /**
   * Creates a chat completion class.
   *
   * @param stream whether answers are streamed
   * @param resume how clients drop and resume streams
   * @return the class
   */
  public static GenerationClass quote(boolean stream, ResumeSettings resume) {
    LengthDistributionSettings prompt =
        new LengthDistributionSettings(Family.LOGNORMAL, 20, 0.5, 1, 100);
    LengthDistributionSettings answer =
        new LengthDistributionSettings(Family.PARETO, 10, 1.2, 2, 60);
    return new GenerationClass(
        "quote", 3, List.of(), List.of(), "model-a", "quote", stream, 50, prompt, 5, answer, 10_000,
        resume);
  }

  /**
   * Creates a class of calls that must not be repeated.
   *
   * @return the class
   */
  public static ServiceCallClass booking() {
    return bookingAt();
  }

  /**
   * Creates a class of calls that must not be repeated, with its own addresses.
   *
   * @param callers the base addresses to send to
   * @return the class
   */
  public static ServiceCallClass bookingAt(String... callers) {
    return new ServiceCallClass(
        "booking",
        1,
        List.of("shop"),
        List.of(callers),
        "POST",
        "/bookings",
        false,
        Optional.empty(),
        5_000);
  }

  /**
   * Creates a class of repeatable calls.
   *
   * @return the class
   */
  public static ServiceCallClass lookup() {
    return new ServiceCallClass(
        "lookup", 1, List.of(), List.of(), "GET", "/bookings/{id}", true, Optional.empty(), 5_000);
  }

  /**
   * Creates the settings of a run.
   *
   * @param seed the seed
   * @param factor the load factor
   * @param callers the addresses to send to
   * @param targets the targets whose records are checked
   * @param classes the request mix
   * @return the settings
   */
  public static RunSettings run(
      long seed, double factor, List<String> callers, Targets targets, RequestClass... classes) {
    return new RunSettings(
        "test",
        seed,
        factor,
        0,
        1_000,
        40,
        10_000,
        200,
        callers,
        targets,
        new Arrivals(80, Optional.of(new Arrivals.Burst(500, 100, 2))),
        List.of(SHOP, new Organisation("mill", "key-mill", 1)),
        List.of(classes));
  }
}
