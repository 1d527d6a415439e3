package org.sequoiareach.load.settings;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** A class of requests in the request mix. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = GenerationClass.class, name = "generation"),
  @JsonSubTypes.Type(value = ServiceCallClass.class, name = "call")
})
public sealed interface RequestClass permits GenerationClass, ServiceCallClass {

  /**
   * Returns the name shown in reports.
   *
   * @return the name, unique in the mix
   */
  String name();

  /**
   * Returns the share of requests, relative to the other classes.
   *
   * @return the weight
   */
  double weight();

  /**
   * Returns the client timeout.
   *
   * @return milliseconds from the scheduled arrival
   */
  long deadlineMs();

  /**
   * Returns the organisations that send requests of this class.
   *
   * @return the names; empty for all organisations of the run
   */
  List<String> organisations();

  /**
   * Returns the addresses that requests of this class are sent to.
   *
   * @return base addresses; empty for the run's {@code callers}
   */
  List<String> callers();
}
