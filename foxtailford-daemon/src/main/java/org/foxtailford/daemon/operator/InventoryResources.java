package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmRole;

/**
 * Lists data centres, VMs, upstreams and slices according to the routing snapshot of this VM, which
 * contains the slice owners of its own data centre only. Thread-safe.
 */
final class InventoryResources {

  private final OperatorContext context;

  InventoryResources(OperatorContext context) {
    this.context = Assert.notNull(context, "context");
  }

  CompletableFuture<HttpAnswer> dataCentres(OperatorRequest request) {
    ConfigurationView view = context.snapshots().get().configuration();
    List<VmEntry> vms = vmList();
    TreeSet<String> names = new TreeSet<>();
    vms.forEach(vm -> names.add(vm.getDataCentre()));
    view.document().getDataCentresList().forEach(dc -> names.add(dc.getName()));
    HandoverProgress progress = new HandoverProgress(context.snapshots().get());
    return answer("dataCentres", names, name -> dataCentre(name, view, vms, progress));
  }

  private ObjectNode dataCentre(
      String name, ConfigurationView view, List<VmEntry> vms, HandoverProgress progress) {
    boolean out =
        view.document().getDataCentresList().stream()
            .anyMatch(dc -> dc.getName().equals(name) && dc.getOut());
    List<Upstream> upstreams =
        view.upstreams().stream().filter(candidate -> candidate.dataCentre().equals(name)).toList();
    long entryVms =
        vms.stream()
            .filter(vm -> vm.getDataCentre().equals(name))
            .filter(vm -> vm.getRole() == VmRole.VM_ROLE_ENTRY)
            .count();
    ObjectNode node =
        JsonAnswers.object()
            .put("name", name)
            .put("out", out)
            .put("entryVms", entryVms)
            .put("upstreams", upstreams.size())
            .put("availableUpstreams", upstreams.stream().filter(Upstream::available).count());
    RoutingSnapshot snapshot = context.snapshots().get();
    if (name.equals(snapshot.dataCentre())) {
      node.put("slicesOwned", slicesByUpstream(snapshot).values().stream().mapToInt(n -> n).sum());
    }
    putProgress(node, progress.countsOf(name), name.equals(snapshot.dataCentre()));
    return node;
  }

  private static void putProgress(
      ObjectNode node, HandoverProgress.Counts slices, boolean isLocal) {
    node.put("homeSlices", slices.homes());
    node.put("leavingSlices", slices.leaving());
    node.put("arrivingSlices", slices.arriving());
    node.put("unownedSlices", isLocal ? slices.unowned() : null);
  }

  CompletableFuture<HttpAnswer> vms(OperatorRequest request) {
    Map<String, LabelledVm> configuredVms = new TreeMap<>();
    context
        .snapshots()
        .get()
        .configuration()
        .document()
        .getVmsList()
        .forEach(vm -> configuredVms.put(vm.getName(), vm));
    List<VmEntry> sorted =
        vmList().stream().sorted(Comparator.comparing(VmEntry::getName)).toList();
    return answer("vms", sorted, vm -> vm(vm, configuredVms));
  }

  private static ObjectNode vm(VmEntry vm, Map<String, LabelledVm> configuredVms) {
    LabelledVm configuredVm =
        configuredVms.getOrDefault(vm.getName(), LabelledVm.getDefaultInstance());
    ObjectNode node =
        JsonAnswers.object()
            .put("name", vm.getName())
            .put("dataCentre", vm.getDataCentre())
            .put("role", vm.getRole().name().replace("VM_ROLE_", ""))
            .put("state", vm.getState().name().replace("VM_STATE_", ""))
            .put("draining", configuredVm.getDraining());
    putLabels(node, configuredVm.getLabelsMap());
    return node;
  }

  CompletableFuture<HttpAnswer> upstreams(OperatorRequest request) {
    RoutingSnapshot snapshot = context.snapshots().get();
    Map<String, Integer> slices = slicesByUpstream(snapshot);
    List<Upstream> sorted =
        snapshot.configuration().upstreams().stream()
            .sorted(Comparator.comparing(Upstream::name))
            .toList();
    return answer("upstreams", sorted, item -> upstream(item, snapshot, slices));
  }

  private static ObjectNode upstream(
      Upstream upstream, RoutingSnapshot snapshot, Map<String, Integer> slices) {
    boolean isLocal = upstream.dataCentre().equals(snapshot.dataCentre());
    List<String> services =
        snapshot.configuration().services().values().stream()
            .filter(service -> service.findUpstream(upstream.name()).isPresent())
            .map(service -> service.definition().getName())
            .sorted()
            .toList();
    ObjectNode node =
        JsonAnswers.object()
            .put("name", upstream.name())
            .put("dataCentre", upstream.dataCentre())
            .put("available", upstream.available())
            .put("services", String.join(",", services))
            .put("slices", isLocal ? slices.getOrDefault(upstream.name(), 0) : null);
    putLabels(node, upstream.labels());
    return node;
  }

  CompletableFuture<HttpAnswer> slices(OperatorRequest request) {
    RoutingSnapshot snapshot = context.snapshots().get();
    List<ObjectNode> nodes = new ArrayList<>();
    for (String service : new TreeSet<>(snapshot.configuration().services().keySet())) {
      snapshot.owners().slices(service).forEach(slice -> nodes.add(slice(service, slice)));
    }
    return answer("slices", nodes, node -> node);
  }

  private static ObjectNode slice(String service, SliceAssignment slice) {
    return JsonAnswers.object()
        .put("service", service)
        .put("range", slice.range().toString())
        .put("upstream", slice.upstream())
        .put("fence", slice.fence().toString());
  }

  /** Returns the number of owned slices per upstream; upstreams without slices are absent. */
  static Map<String, Integer> slicesByUpstream(RoutingSnapshot snapshot) {
    Map<String, Integer> counts = new TreeMap<>();
    for (ServiceView service : snapshot.configuration().services().values()) {
      snapshot
          .owners()
          .slices(service.definition().getName())
          .forEach(slice -> counts.merge(slice.upstream(), 1, Integer::sum));
    }
    return counts;
  }

  private List<VmEntry> vmList() {
    return context.activeConfiguration().vms().map(list -> list.getVmsList()).orElse(List.of());
  }

  private static void putLabels(ObjectNode node, Map<String, String> labels) {
    ObjectNode target = node.putObject("labels");
    new TreeMap<>(labels).forEach(target::put);
  }

  private static <T> CompletableFuture<HttpAnswer> answer(
      String name, Collection<T> items, Function<T, ObjectNode> toNode) {
    ObjectNode node = JsonAnswers.object();
    node.set(name, JsonAnswers.list(items, toNode));
    return JsonAnswers.okNow(node);
  }
}
