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
 * Identifies a generation towards its caller: which target holds it, which attempt named it, and a
 * tag that only the caller's organisation can have got.
 *
 * <p>Any daemon can resume or cancel the generation from the id alone. The tag is a MAC under the
 * digest of one of the organisation's keys, so that an id is worth nothing to another organisation.
 *
 * @param targetId the target that holds the generation
 * @param attemptId the attempt that names it
 */
record CompletionId(String targetId, String attemptId) {

  private static final String PREFIX = "chatcmpl-";
  private static final String ALGORITHM = "HmacSHA256";
  private static final int TAG_BYTES = 16;

  /** Writes the id for an organisation. */
  String format(OrganisationEntry organisation) {
    String tag = tag(organisation.keyDigests().get(0));
    return PREFIX + targetId + "." + attemptId + "." + tag;
  }

  /** Reads an id; empty where it is malformed or was not issued to the organisation. */
  static Optional<CompletionId> parse(String text, OrganisationEntry organisation) {
    if (!text.startsWith(PREFIX)) {
      return Optional.empty();
    }
    String rest = text.substring(PREFIX.length());
    int tagAt = rest.lastIndexOf('.');
    int attemptAt = tagAt < 1 ? -1 : rest.lastIndexOf('.', tagAt - 1);
    if (attemptAt < 1) {
      return Optional.empty();
    }
    CompletionId id =
        new CompletionId(rest.substring(0, attemptAt), rest.substring(attemptAt + 1, tagAt));
    byte[] given = rest.substring(tagAt + 1).getBytes(StandardCharsets.UTF_8);
    boolean issued =
        organisation.keyDigests().stream()
            .anyMatch(
                digest ->
                    MessageDigest.isEqual(given, id.tag(digest).getBytes(StandardCharsets.UTF_8)));
    return issued ? Optional.of(id) : Optional.empty();
  }

  private String tag(String keyDigest) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(keyDigest.getBytes(StandardCharsets.UTF_8), ALGORITHM));
      byte[] full = mac.doFinal((targetId + "." + attemptId).getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(Arrays.copyOf(full, TAG_BYTES));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
