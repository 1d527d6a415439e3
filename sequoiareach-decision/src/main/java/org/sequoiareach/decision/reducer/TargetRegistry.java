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
 * Registry of the targets, fed by the platform's VM list and by the load reports of engines.
 *
 * <p>A target that reports that it is leaving counts as leaving until the VM list no longer
 * contains it, so that a lagging list cannot make it eligible again.
 */
final class TargetRegistry {

  private final BooleanSupplier fresh;
  private final Map<String, VmEntry> listed = new LinkedHashMap<>();
  private final Set<String> leavingByReport = new HashSet<>();
  private final Map<String, List<VmEntry>> byResource = new LinkedHashMap<>();
  private final List<VmEntry> daemons = new ArrayList<>();
  private final Map<Resource, List<VmEntry>> placeable = new HashMap<>();
  private Optional<List<VmEntry>> latestList = Optional.empty();

  /**
   * Creates an empty registry.
   *
   * @param fresh whether the VM list is fresh enough for routing new work
   */
  TargetRegistry(BooleanSupplier fresh) {
    this.fresh = fresh;
  }

  /** Returns whether the VM list is fresh enough for routing new work. */
  boolean isFresh() {
    return fresh.getAsBoolean();
  }

  /**
   * Returns whether a list has to be applied: it differs from the last one, or a target reported
   * since then that it is leaving.
   */
  boolean isChanged(List<VmEntry> vms) {
    return !latestList.equals(Optional.of(vms));
  }

  /** Replaces the list and returns the targets that no longer accept work because of it. */
  List<String> replace(List<VmEntry> vms) {
    final Set<String> before = placeableIds();
    latestList = Optional.of(vms);
    placeable.clear();
    listed.clear();
    byResource.clear();
    daemons.clear();
    vms.forEach(this::add);
    leavingByReport.retainAll(listed.keySet());
    before.removeAll(placeableIds());
    return List.copyOf(before);
  }

  /** Records a load report and returns true if it is the first to say that the target leaves. */
  boolean recordLoad(String targetId, EngineLoad load) {
    if (!load.leaving() || !listed.containsKey(targetId)) {
      return false;
    }
    placeable.clear();
    latestList = Optional.empty();
    return leavingByReport.add(targetId);
  }

  Optional<VmEntry> find(String targetId) {
    return Optional.ofNullable(listed.get(targetId));
  }

  /** Returns the targets that serve a model or service and accept new work. */
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

  /** Returns all engines that accept new work, in the order of the VM list. */
  List<VmEntry> engines() {
    return listed.values().stream()
        .filter(vm -> vm.kind() == VmKind.ENGINE && isPlaceable(vm.id()))
        .toList();
  }

  /** Returns the engines that accept new work, grouped by model. */
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

  /** Kind of target with the model or service that it serves. */
  private record Resource(VmKind kind, String name) {}
}
