package org.sequoiareach.decision.reducer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;

/**
 * Knows the live and leaving targets, from the platform's list and from what targets say
 * themselves.
 *
 * <p>A target that says itself that it is leaving stays leaving until the list has dropped it, so
 * that a lagging list does not bring it back.
 */
final class TargetRegistry {

  private final BooleanSupplier known;
  private final Map<String, VmEntry> listed = new LinkedHashMap<>();
  private final Set<String> leavingByReport = new HashSet<>();
  private final Map<String, List<VmEntry>> byResource = new LinkedHashMap<>();
  private final List<VmEntry> daemons = new ArrayList<>();
  private final Map<Resource, List<VmEntry>> placeable = new HashMap<>();
  private Optional<List<VmEntry>> latest = Optional.empty();

  /**
   * Creates an empty registry.
   *
   * @param known tells whether the list is fresh enough to send new work by
   */
  TargetRegistry(BooleanSupplier known) {
    this.known = known;
  }

  /** Tells whether new work may be sent by what is known. */
  boolean isKnown() {
    return known.getAsBoolean();
  }

  /** Tells whether a list says anything new, given all that was reported since the last one. */
  boolean isNews(List<VmEntry> vms) {
    return !latest.equals(Optional.of(vms));
  }

  /** Replaces the list; returns the targets that are leaving or gone now but were not before. */
  List<String> replace(List<VmEntry> vms) {
    final Set<String> before = placeableIds();
    latest = Optional.of(vms);
    placeable.clear();
    listed.clear();
    byResource.clear();
    daemons.clear();
    vms.forEach(this::add);
    leavingByReport.retainAll(listed.keySet());
    before.removeAll(placeableIds());
    return List.copyOf(before);
  }

  /** Records a target's own word; returns true if it newly says that it is leaving. */
  boolean report(String targetId, EngineLoad load) {
    if (!load.leaving() || !listed.containsKey(targetId)) {
      return false;
    }
    placeable.clear();
    latest = Optional.empty();
    return leavingByReport.add(targetId);
  }

  Optional<VmEntry> find(String targetId) {
    return Optional.ofNullable(listed.get(targetId));
  }

  /** Returns the targets that serve a model or service and may get new work. */
  List<VmEntry> placeable(VmKind kind, String resource) {
    return placeable.computeIfAbsent(new Resource(kind, resource), this::findPlaceable);
  }

  boolean isPlaceable(String targetId) {
    VmEntry vm = listed.get(targetId);
    return vm != null && !vm.leaving() && !leavingByReport.contains(targetId);
  }

  List<VmEntry> daemons() {
    return daemons;
  }

  /** Returns all engines that may get new work, in the order of the list. */
  List<VmEntry> engines() {
    return listed.values().stream()
        .filter(vm -> vm.kind() == VmKind.ENGINE && isPlaceable(vm.id()))
        .toList();
  }

  /** Returns the engines that may get new work, a list for each model. */
  List<List<VmEntry>> enginesByModel() {
    return byResource.keySet().stream()
        .map(model -> placeable(VmKind.ENGINE, model))
        .filter(engines -> !engines.isEmpty())
        .toList();
  }

  private List<VmEntry> findPlaceable(Resource resource) {
    return byResource.getOrDefault(resource.name, List.of()).stream()
        .filter(vm -> vm.kind() == resource.kind && isPlaceable(vm.id()))
        .toList();
  }

  private void add(VmEntry vm) {
    if (vm.kind() == VmKind.DAEMON) {
      daemons.add(vm);
      return;
    }
    listed.put(vm.id(), vm);
    for (String resource : vm.serves()) {
      byResource.computeIfAbsent(resource, name -> new ArrayList<>()).add(vm);
    }
  }

  private Set<String> placeableIds() {
    Set<String> ids = new HashSet<>();
    for (String id : listed.keySet()) {
      if (isPlaceable(id)) {
        ids.add(id);
      }
    }
    return ids;
  }

  /** Names a model or service. */
  private record Resource(VmKind kind, String name) {}
}
