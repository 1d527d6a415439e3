package org.sequoiareach.model.sheet;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;

/**
 * Digests of the sections of a sheet. Daemons compare them so that only the sections that differ
 * are transferred.
 *
 * <p>The first section is the {@linkplain SheetCatalogue catalogue}, followed by one section per
 * organisation in the order of the sheet. A digest is the first eight bytes of the SHA-256 hash of
 * the section's canonical JSON form.
 *
 * @param version the version of the sheet
 * @param sections the digests, starting with that of the catalogue
 */
public record SheetManifest(long version, List<Long> sections) {

  /** Validates the components and copies the lists. */
  public SheetManifest {
    Check.inRange(version, 1, Long.MAX_VALUE, "version");
    Check.isTrue(
        sections != null && !sections.isEmpty(),
        "'sections' must contain at least the digest of the catalogue.");
    sections = List.copyOf(sections);
  }

  /**
   * Computes the manifest of a sheet.
   *
   * @param sheet the sheet
   * @return the manifest
   */
  public static SheetManifest of(Sheet sheet) {
    List<Long> sections = new ArrayList<>(sheet.organisations().size() + 1);
    sections.add(digestOf(SheetCatalogue.of(sheet)));
    sheet.organisations().forEach(organisation -> sections.add(digestOf(organisation)));
    return new SheetManifest(sheet.version(), sections);
  }

  /**
   * Computes the digest of one section.
   *
   * @param section a {@link SheetCatalogue} or an {@link OrganisationEntry}
   * @return the digest
   */
  public static long digestOf(Record section) {
    try {
      return truncatedSha256(Json.mapper().writeValueAsBytes(section));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "Cannot write a " + section.getClass().getSimpleName() + " as JSON.", e);
    }
  }

  /**
   * Computes the digest of the whole sheet.
   *
   * @return the version, and a digest of the version and all section digests
   */
  public SheetDigest digest() {
    ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES * (sections.size() + 1));
    bytes.putLong(version);
    sections.forEach(bytes::putLong);
    return new SheetDigest(version, truncatedSha256(bytes.array()));
  }

  private static long truncatedSha256(byte[] bytes) {
    try {
      return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available.", e);
    }
  }
}
