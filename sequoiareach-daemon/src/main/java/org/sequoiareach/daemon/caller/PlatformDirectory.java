package org.sequoiareach.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Provides the sheet and the VM list in use to the threads that serve requests, and authenticates
 * organisations by their API keys. Thread-safe.
 */
public final class PlatformDirectory implements EffectHandler {

  private static final String BEARER = "Bearer ";
  private static final String DIGEST_PREFIX = "sha256:";

  private volatile SheetIndex index = new SheetIndex(Optional.empty(), Map.of());
  private volatile Map<String, VmEntry> vms = Map.of();

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.UseSheet use) {
      index = SheetIndex.of(use.sheet());
    } else if (effect instanceof Effect.UseVms use) {
      Map<String, VmEntry> byId = new HashMap<>();
      use.vms().forEach(vm -> byId.put(vm.id(), vm));
      vms = Map.copyOf(byId);
    }
  }

  /**
   * Returns the sheet in use.
   *
   * @return the sheet, or empty if none has been received yet
   */
  public Optional<Sheet> findSheet() {
    return index.sheet;
  }

  /**
   * Finds a VM by its ID.
   *
   * @param id the ID
   * @return the VM, or empty if the VM list does not contain it
   */
  public Optional<VmEntry> findVm(String id) {
    return Optional.ofNullable(vms.get(id));
  }

  /**
   * Finds the organisation that an API key belongs to.
   *
   * @param authorization the value of the {@code Authorization} header, or null
   * @return the organisation, or empty if the key is missing or unknown
   */
  public Optional<OrganisationEntry> findOrganisation(String authorization) {
    if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, 7)) {
      return Optional.empty();
    }
    String digest = digest(authorization.substring(BEARER.length()).trim());
    return Optional.ofNullable(index.byDigest.get(digest));
  }

  /**
   * Computes the digest of an API key in the form used by the sheet.
   *
   * @param key the API key
   * @return {@code sha256:} and 64 hexadecimal digits
   */
  static String digest(String key) {
    byte[] hash = sha256().digest(key.getBytes(StandardCharsets.UTF_8));
    return DIGEST_PREFIX + HexFormat.of().formatHex(hash);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the algorithm SHA-256 is not available", e);
    }
  }

  /** A sheet and its organisations indexed by key digest. */
  private record SheetIndex(Optional<Sheet> sheet, Map<String, OrganisationEntry> byDigest) {

    private static SheetIndex of(Sheet sheet) {
      Map<String, OrganisationEntry> byDigest = new HashMap<>();
      List<OrganisationEntry> organisations = sheet.organisations();
      for (OrganisationEntry organisation : organisations) {
        organisation.keyDigests().forEach(digest -> byDigest.put(digest, organisation));
      }
      return new SheetIndex(Optional.of(sheet), Map.copyOf(byDigest));
    }
  }
}
