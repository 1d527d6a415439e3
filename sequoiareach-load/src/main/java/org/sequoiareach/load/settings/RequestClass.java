package org.sequoiareach.load.settings;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Describes one class of the request mix. */
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
   * Returns the class's share of the requests, relative to the other classes.
   *
   * @return the weight
   */
  double weight();

  /**
   * Returns the time a caller waits for its answer.
   *
   * @return milliseconds from the scheduled arrival
   */
  long deadlineMs();

  /**
   * Returns the organisations that send requests of this class.
   *
   * @return their names; empty for all of the mix
   */
  List<String> organisations();

  /**
   * Returns the addresses that requests of this class go to.
   *
   * @return base addresses; empty for the callers of the run
   */
  List<String> callers();
}
