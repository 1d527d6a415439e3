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
 * Lists the digests of a sheet's sections, so that only the sections that differ need to travel.
 *
 * <p>The first section is the catalogue, that is models and services; each organisation is a
 * section of its own, in the order of the sheet. A digest is the first eight bytes of SHA-256 over
 * the section's canonical JSON.
 *
 * @param version the version of the sheet
 * @param sections the digests, the catalogue's first
 */
public record SheetManifest(long version, List<Long> sections) {

  /** Checks and copies the parts. */
  public SheetManifest {
    Check.inRange(version, 1, Long.MAX_VALUE, "version");
    Check.isTrue(
        sections != null && !sections.isEmpty(), "'sections' must hold at least the catalogue.");
    sections = List.copyOf(sections);
  }

  /**
   * Computes the manifest of a sheet.
   *
   * @param sheet the sheet
   * @return its manifest
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
      return hash(Json.mapper().writeValueAsBytes(section));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("The section has no JSON form.", e);
    }
  }

  /**
   * Computes the digest of the whole sheet.
   *
   * @return the version and the digest over version and sections
   */
  public SheetDigest digest() {
    ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES * (sections.size() + 1));
    bytes.putLong(version);
    sections.forEach(bytes::putLong);
    return new SheetDigest(version, hash(bytes.array()));
  }

  private static long hash(byte[] bytes) {
    try {
      return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java platform has SHA-256.", e);
    }
  }
}
