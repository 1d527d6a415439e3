package org.sequoiareach.daemon.answer;

import java.util.List;
import org.sequoiareach.peer.Header;

/** Is a part of an answer on its way from a target to a caller. */
public interface AnswerPart {

  /**
   * Opens the answer of a plain service.
   *
   * @param status the HTTP status
   * @param headers the headers to pass on
   */
  record Head(int status, List<Header> headers) implements AnswerPart {}

  /**
   * Carries content.
   *
   * @param targetId the target it comes from
   * @param attemptId the attempt it comes from, which names the generation
   * @param sequence for a generation its place, from 1; for a plain service a running number
   * @param payload for a generation the JSON text of one chunk; else bytes of the body
   */
  record Data(String targetId, String attemptId, long sequence, byte[] payload)
      implements AnswerPart {}

  /**
   * Closes an answer that is whole.
   *
   * @param tokens the tokens of the answer; 0 for a plain service
   */
  record End(int tokens) implements AnswerPart {}
}
