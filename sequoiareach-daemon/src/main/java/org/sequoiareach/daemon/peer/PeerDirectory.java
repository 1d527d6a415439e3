package org.sequoiareach.daemon.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;

/** Finds the addresses of other daemons in the VM list in use. Thread-safe. */
public final class PeerDirectory implements EffectHandler {

  private volatile Map<String, String> addresses = Map.of();

  @Override
  public void handle(Effect effect) {
    if (!(effect instanceof Effect.UseVms use)) {
      return;
    }
    Map<String, String> listed = new HashMap<>();
    for (VmEntry vm : use.vms()) {
      if (vm.kind() == VmKind.DAEMON) {
        listed.put(vm.id(), vm.address());
      }
    }
    addresses = Map.copyOf(listed);
  }

  /**
   * Finds the address of a daemon.
   *
   * @param daemonId the daemon
   * @return the IP address and port of its peer listener, or empty if the VM list does not contain
   *     it
   */
  public Optional<String> findAddress(String daemonId) {
    return Optional.ofNullable(addresses.get(daemonId));
  }
}
