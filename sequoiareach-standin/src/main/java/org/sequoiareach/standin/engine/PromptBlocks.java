package org.sequoiareach.standin.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Computes the digests that identify the blocks of a prompt in the prefix cache.
 *
 * <p>The digest of a block consists of the first 16 hexadecimal digits of the SHA-256 hash of the
 * preceding digest (for the first block, of the model name) followed by the text of the block in
 * UTF-8. A block holds {@code 4 * blockTokens} chars. A partial block at the end has no digest.
 */
public final class PromptBlocks {

  private static final int DIGEST_BYTES = 8;

  private PromptBlocks() {}

  /**
   * Computes the digests of the full blocks of a prompt.
   *
   * @param model the name of the model
   * @param prompt the text of all messages: for each its role, a line feed, its content and a line
   *     feed
   * @param blockTokens the number of tokens per block
   * @return the digests, in order
   */
  public static List<String> digests(String model, String prompt, int blockTokens) {
    Check.inRange(blockTokens, 1, Integer.MAX_VALUE, "blockTokens");
    int chars = blockTokens * GenerationRequest.charsPerToken();
    List<String> digests = new ArrayList<>();
    String parent = model;
    for (int end = chars; end <= prompt.length(); end += chars) {
      parent = digest(parent + prompt.substring(end - chars, end));
      digests.add(parent);
    }
    return digests;
  }

  static String digest(String text) {
    try {
      byte[] bytes =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(bytes, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
