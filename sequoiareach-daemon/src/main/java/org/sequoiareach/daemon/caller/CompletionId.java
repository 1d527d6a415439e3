package org.sequoiareach.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.sequoiareach.model.sheet.OrganisationEntry;

/**
 * The completion ID that a caller receives. It consists of the target that holds the generation,
 * the attempt that started it, and an authentication tag.
 *
 * <p>Any daemon can resume or cancel the generation from the ID alone. The tag is a MAC keyed with
 * the digest of one of the organisation's API keys, so that another organisation cannot use the ID.
 *
 * @param targetId the target that holds the generation
 * @param attemptId the attempt that started the generation
 */
record CompletionId(String targetId, String attemptId) {

  private static final String PREFIX = "chatcmpl-";
  private static final String ALGORITHM = "HmacSHA256";
  private static final int TAG_BYTES = 16;

  /** Formats the ID for an organisation, with a tag keyed with the digest of its first API key. */
  String format(OrganisationEntry organisation) {
    String tag = tag(organisation.keyDigests().get(0));
    return PREFIX + targetId + "." + attemptId + "." + tag;
  }

  /** Parses an ID. Returns empty if it is malformed or was not issued to the organisation. */
  static Optional<CompletionId> parse(String text, OrganisationEntry organisation) {
    if (!text.startsWith(PREFIX)) {
      return Optional.empty();
    }
    String rest = text.substring(PREFIX.length());
    int tagDot = rest.lastIndexOf('.');
    int attemptDot = tagDot < 1 ? -1 : rest.lastIndexOf('.', tagDot - 1);
    if (attemptDot < 1) {
      return Optional.empty();
    }
    CompletionId id =
        new CompletionId(rest.substring(0, attemptDot), rest.substring(attemptDot + 1, tagDot));
    byte[] givenTag = rest.substring(tagDot + 1).getBytes(StandardCharsets.UTF_8);
    boolean issued =
        organisation.keyDigests().stream()
            .anyMatch(
                digest ->
                    MessageDigest.isEqual(
                        givenTag, id.tag(digest).getBytes(StandardCharsets.UTF_8)));
    return issued ? Optional.of(id) : Optional.empty();
  }

  private String tag(String keyDigest) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(keyDigest.getBytes(StandardCharsets.UTF_8), ALGORITHM));
      byte[] fullTag = mac.doFinal((targetId + "." + attemptId).getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(Arrays.copyOf(fullTag, TAG_BYTES));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the algorithm " + ALGORITHM + " is not available", e);
    }
  }
}
