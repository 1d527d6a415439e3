package org.sequoiareach.model.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sequoiareach.model.Check;

/**
 * The properties of a request that other requests may share, as digests in ascending order.
 *
 * <p>A digest starts with its kind and does not reveal the content. Immutable.
 *
 * @param digests the digests
 */
public record RequestTraits(List<String> digests) {

  /** The parts of a prompt that are considered; a request may name any number. */
  public static final int MAX_PARTS = 64;

  private static final String CALLER = "caller-";
  private static final String PART = "part-";
  private static final String CONTENT = "content-";

  /** Sorts the digests and removes duplicates. */
  public RequestTraits {
    digests = digests.stream().sorted().distinct().toList();
    digests.forEach(digest -> Check.hasText(digest, "digests"));
  }

  /**
   * Creates the traits of a request. The first {@value #MAX_PARTS} parts are considered.
   *
   * @param service the service that runs the request
   * @param organisation the organisation of its caller
   * @param sharedParts the identifiers of the parts of its prompt that other requests may share
   * @param content identifies its method, path and body, which a repeated request shares
   * @return the traits
   */
  public static RequestTraits of(
      String service,
      Optional<String> organisation,
      List<String> sharedParts,
      Optional<String> content) {
    Stream<String> whole = content.stream().map(text -> CONTENT + digest(service, text));
    Stream<String> caller = organisation.stream().map(name -> CALLER + digest(name));
    Stream<String> parts =
        sharedParts.stream().limit(MAX_PARTS).map(part -> PART + digest(service, part));
    return new RequestTraits(Stream.of(whole, caller, parts).flatMap(one -> one).toList());
  }

  /**
   * Returns whether these traits identify more than the caller. Requests are never judged by their
   * caller alone.
   *
   * @return true if a digest of another kind is present
   */
  public boolean isSpecific() {
    return digests.stream().anyMatch(digest -> !digest.startsWith(CALLER));
  }

  /**
   * Returns whether a request with these traits has all of the given ones.
   *
   * @param other the other traits
   * @return true if each of them is present
   */
  public boolean containsAll(RequestTraits other) {
    return other.digests.size() <= digests.size()
        && other.digests.stream().allMatch(this::contains);
  }

  /**
   * Returns the traits that two requests have in common.
   *
   * @param other the traits of the other request
   * @return the traits present in both
   */
  public RequestTraits intersect(RequestTraits other) {
    return new RequestTraits(digests.stream().filter(other::contains).toList());
  }

  private boolean contains(String digest) {
    return Collections.binarySearch(digests, digest) >= 0;
  }

  @Override
  public String toString() {
    return String.join(",", digests);
  }

  private static String digest(String... values) {
    MessageDigest sha256 = sha256();
    for (String value : values) {
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      sha256.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
      sha256.update(bytes);
    }
    return HexFormat.of().toHexDigits(ByteBuffer.wrap(sha256.digest()).getLong());
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the algorithm SHA-256 is not available", e);
    }
  }
}
