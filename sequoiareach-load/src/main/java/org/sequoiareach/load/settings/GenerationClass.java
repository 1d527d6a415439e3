package org.sequoiareach.load.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Describes a class of generations.
 *
 * @param name the name shown in reports
 * @param weight its share of the requests
 * @param organisations the organisations that send it; empty for all
 * @param callers the addresses it goes to; empty for the callers of the run
 * @param model the model asked for
 * @param callClass the kind of call told to the system
 * @param stream whether the answer is asked for token by token
 * @param maxTokens the greatest answer that the caller allows
 * @param promptTokens the length of prompts
 * @param sharedPromptTokens how much of each prompt all requests of one organisation share
 * @param answerTokens the length of answers, told to the engine stand-in only
 * @param deadlineMs the time a caller waits, from the scheduled arrival
 * @param resume how its callers drop and resume streams
 */
public record GenerationClass(
    String name,
    double weight,
    List<String> organisations,
    List<String> callers,
    String model,
    String callClass,
    boolean stream,
    int maxTokens,
    LengthSettings promptTokens,
    int sharedPromptTokens,
    LengthSettings answerTokens,
    long deadlineMs,
    ResumeSettings resume)
    implements RequestClass {

  /** Checks the parts and fills in what was left out. */
  public GenerationClass {
    Check.hasText(name, "name");
    Check.hasText(model, "model");
    Check.notNull(promptTokens, "promptTokens");
    Check.notNull(answerTokens, "answerTokens");
    Check.inRange(maxTokens, 1, Integer.MAX_VALUE, "maxTokens");
    Check.inRange(deadlineMs, 1, Long.MAX_VALUE, "deadlineMs");
    organisations = organisations == null ? List.of() : List.copyOf(organisations);
    callers = callers == null ? List.of() : List.copyOf(callers);
    callClass = callClass == null ? name : callClass;
    resume = resume == null ? ResumeSettings.NEVER : resume;
  }
}
