package org.sequoiareach.daemon.answer;

import java.util.List;
import org.sequoiareach.peer.Header;

/** A part of an answer that is passed from a target to a caller. */
public interface AnswerPart {

  /**
   * The status and headers of the answer of a service.
   *
   * @param status the HTTP status
   * @param headers the headers to forward
   */
  record Head(int status, List<Header> headers) implements AnswerPart {}

  /**
   * A piece of content.
   *
   * @param targetId the target that sent it
   * @param attemptId the attempt that it belongs to, which identifies a generation
   * @param sequence the sequence number, from 1: of the token for a generation, of the part for a
   *     service call
   * @param payload the JSON text of one chunk for a generation, bytes of the body for a service
   *     call
   */
  record Data(String targetId, String attemptId, long sequence, byte[] payload)
      implements AnswerPart {}

  /**
   * The end of a complete answer.
   *
   * @param tokens the number of tokens of the answer; 0 for a service call
   */
  record End(int tokens) implements AnswerPart {}
}
