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
 * Gives traffic threads the sheet and the list of VMs in use, and finds organisations by their
 * keys. Thread-safe.
 */
public final class KeyDirectory implements EffectHandler {

  private static final String BEARER = "Bearer ";
  private static final String DIGEST_PREFIX = "sha256:";

  private volatile Snapshot snapshot = new Snapshot(Optional.empty(), Map.of());
  private volatile Map<String, VmEntry> vms = Map.of();

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.UseSheet use) {
      snapshot = Snapshot.of(use.sheet());
    } else if (effect instanceof Effect.UseVms use) {
      Map<String, VmEntry> byId = new HashMap<>();
      use.vms().forEach(vm -> byId.put(vm.id(), vm));
      vms = Map.copyOf(byId);
    }
  }

  /**
   * Returns the sheet in use.
   *
   * @return the sheet, or empty before the first
   */
  public Optional<Sheet> findSheet() {
    return snapshot.sheet;
  }

  /**
   * Finds a VM by identity.
   *
   * @param id the identity
   * @return the VM, or empty if the list has none
   */
  public Optional<VmEntry> findVm(String id) {
    return Optional.ofNullable(vms.get(id));
  }

  /**
   * Finds the organisation that a caller belongs to.
   *
   * @param authorization the value of the header {@code Authorization}, or null
   * @return the organisation, or empty if the key is missing or unknown
   */
  public Optional<OrganisationEntry> findOrganisation(String authorization) {
    if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, 7)) {
      return Optional.empty();
    }
    String digest = digest(authorization.substring(BEARER.length()).trim());
    return Optional.ofNullable(snapshot.byDigest.get(digest));
  }

  /**
   * Computes the digest of a key as it stands in the sheet.
   *
   * @param key the key
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
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Holds a sheet and its organisations by key digest. */
  private record Snapshot(Optional<Sheet> sheet, Map<String, OrganisationEntry> byDigest) {

    private static Snapshot of(Sheet sheet) {
      Map<String, OrganisationEntry> byDigest = new HashMap<>();
      List<OrganisationEntry> organisations = sheet.organisations();
      for (OrganisationEntry organisation : organisations) {
        organisation.keyDigests().forEach(digest -> byDigest.put(digest, organisation));
      }
      return new Snapshot(Optional.of(sheet), Map.copyOf(byDigest));
    }
  }
}
