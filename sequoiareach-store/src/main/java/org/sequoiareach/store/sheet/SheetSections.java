package org.sequoiareach.store.sheet;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.ServiceEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * A sheet split into sections that are identified by the digest of their JSON text: one of models
 * and services, and one per organisation. Immutable.
 */
final class SheetSections {

  /** Number of hexadecimal digits to which a SHA-256 digest is truncated. */
  private static final int DIGEST_CHARS = 32;

  private final String commonDigest;
  private final List<StoredSheetManifest.SectionRef> sectionRefs;
  private final Map<String, String> textByDigest;

  private SheetSections(
      String commonDigest,
      List<StoredSheetManifest.SectionRef> sectionRefs,
      Map<String, String> textByDigest) {
    this.commonDigest = commonDigest;
    this.sectionRefs = sectionRefs;
    this.textByDigest = textByDigest;
  }

  /** The section that all organisations share. */
  record Common(List<ModelEntry> models, List<ServiceEntry> services) {}

  static SheetSections of(Sheet sheet) {
    Map<String, String> textByDigest = new LinkedHashMap<>();
    String common = add(textByDigest, new Common(sheet.models(), sheet.services()));
    List<StoredSheetManifest.SectionRef> sectionRefs = new ArrayList<>();
    for (OrganisationEntry organisation : sheet.organisations()) {
      sectionRefs.add(
          new StoredSheetManifest.SectionRef(organisation.id(), add(textByDigest, organisation)));
    }
    return new SheetSections(common, List.copyOf(sectionRefs), textByDigest);
  }

  /** Assembles the sheet of a manifest from the texts of its sections. */
  static Sheet assemble(StoredSheetManifest manifest, Map<String, String> textByDigest) {
    Common common = read(textByDigest.get(manifest.common()), Common.class);
    List<OrganisationEntry> organisations = new ArrayList<>();
    for (StoredSheetManifest.SectionRef ref : manifest.organisations()) {
      organisations.add(read(textByDigest.get(ref.digest()), OrganisationEntry.class));
    }
    return new Sheet(manifest.version(), common.models(), common.services(), organisations);
  }

  static String digest(String text) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash).substring(0, DIGEST_CHARS);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  static String write(Object value) {
    try {
      return Json.mapper().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static <T> T read(String text, Class<T> type) {
    try {
      T value = Json.mapper().readValue(text, type);
      if (value == null) {
        throw new IllegalStateException("it is null");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e.getOriginalMessage(), e);
    }
  }

  String commonDigest() {
    return commonDigest;
  }

  List<StoredSheetManifest.SectionRef> sectionRefs() {
    return sectionRefs;
  }

  Set<String> digests() {
    return textByDigest.keySet();
  }

  Map<String, String> textByDigest() {
    return textByDigest;
  }

  private static String add(Map<String, String> textByDigest, Object section) {
    String text = write(section);
    String digest = digest(text);
    textByDigest.put(digest, text);
    return digest;
  }
}
