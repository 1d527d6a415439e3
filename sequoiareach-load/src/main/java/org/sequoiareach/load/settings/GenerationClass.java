package org.sequoiareach.load.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Configures a request class of chat completions.
 *
 * @param name the name shown in reports
 * @param weight the share of requests, relative to the other classes
 * @param organisations the names of the sending organisations; empty for all
 * @param callers the base addresses to send to; empty for the run's {@code callers}
 * @param model the requested model
 * @param callClass the call class sent in the request metadata; defaults to {@code name}
 * @param stream whether to request a streamed response
 * @param maxTokens the {@code max_tokens} limit on the answer
 * @param promptTokens the distribution of prompt lengths
 * @param sharedPromptTokens the length of the prompt prefix shared by all requests of an
 *     organisation
 * @param answerTokens the distribution of answer lengths, which only the engine stand-in is told
 * @param deadlineMs the client timeout in milliseconds, from the scheduled arrival
 * @param resume how clients drop and resume streams; defaults to never
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
    LengthDistributionSettings promptTokens,
    int sharedPromptTokens,
    LengthDistributionSettings answerTokens,
    long deadlineMs,
    ResumeSettings resume)
    implements RequestClass {

  /** Validates the components and applies defaults. */
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
