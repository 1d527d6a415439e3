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
 * Holds a sheet as sections that are identified by the digest of their text: one of models and
 * services, and one of each organisation. Immutable.
 */
final class SheetSections {

  /** Hexadecimal digits kept of a SHA-256 digest. */
  private static final int DIGEST_CHARS = 32;

  private final String commonDigest;
  private final List<SheetManifest.SectionRef> refs;
  private final Map<String, String> textByDigest;

  private SheetSections(
      String commonDigest, List<SheetManifest.SectionRef> refs, Map<String, String> textByDigest) {
    this.commonDigest = commonDigest;
    this.refs = refs;
    this.textByDigest = textByDigest;
  }

  /** Holds what all organisations share. */
  record Common(List<ModelEntry> models, List<ServiceEntry> services) {}

  static SheetSections of(Sheet sheet) {
    Map<String, String> texts = new LinkedHashMap<>();
    String common = add(texts, new Common(sheet.models(), sheet.services()));
    List<SheetManifest.SectionRef> refs = new ArrayList<>();
    for (OrganisationEntry organisation : sheet.organisations()) {
      refs.add(new SheetManifest.SectionRef(organisation.id(), add(texts, organisation)));
    }
    return new SheetSections(common, List.copyOf(refs), texts);
  }

  /** Builds the sheet of a manifest from the texts of its sections. */
  static Sheet join(SheetManifest manifest, Map<String, String> textByDigest) {
    Common common = read(textByDigest.get(manifest.common()), Common.class);
    List<OrganisationEntry> organisations = new ArrayList<>();
    for (SheetManifest.SectionRef ref : manifest.organisations()) {
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

  List<SheetManifest.SectionRef> refs() {
    return refs;
  }

  Set<String> digests() {
    return textByDigest.keySet();
  }

  Map<String, String> textByDigest() {
    return textByDigest;
  }

  private static String add(Map<String, String> texts, Object section) {
    String text = write(section);
    String digest = digest(text);
    texts.put(digest, text);
    return digest;
  }
}
