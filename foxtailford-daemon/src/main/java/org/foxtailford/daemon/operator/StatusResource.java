package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmRole;

/**
 * Reports the state of this VM and the configuration version that each entry VM last reported to
 * it. Thread-safe.
 */
final class StatusResource implements OperatorResource {

  /** Stands for the version of an entry VM in the VM list that has not reported one. */
  private static final long UNKNOWN_VERSION = -1;

  private final OperatorContext context;

  StatusResource(OperatorContext context) {
    this.context = Assert.notNull(context, "context");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(OperatorRequest request) {
    RoutingSnapshot snapshot = context.snapshots().get();
    ObjectNode status = JsonAnswers.object();
    status.put("vm", context.vm());
    status.put("dataCentre", snapshot.dataCentre());
    status.put("leads", context.leads().getAsBoolean());
    status.put("ready", snapshot.isReady());
    status.put("accepting", context.accepting().getAsBoolean());
    status.put("configurationVersion", snapshot.configuration().version());
    context
        .activeConfiguration()
        .unreadableReason()
        .ifPresent(reason -> status.put("unreadableConfiguration", reason));
    status.put("ownershipVersion", snapshot.owners().version().toString());
    ObjectNode slices = status.putObject("slicesByUpstream");
    InventoryResources.slicesByUpstream(snapshot).forEach(slices::put);
    putVersions(status.putArray("vms"), snapshot);
    return JsonAnswers.okNow(status);
  }

  private List<String> entryVms() {
    return context.activeConfiguration().vms().stream()
        .flatMap(list -> list.getVmsList().stream())
        .filter(vm -> vm.getRole() == VmRole.VM_ROLE_ENTRY)
        .map(VmEntry::getName)
        .toList();
  }

  private void putVersions(ArrayNode vms, RoutingSnapshot snapshot) {
    Map<String, Long> versions = new TreeMap<>(context.peerVersions().get());
    versions.put(context.vm(), snapshot.configuration().version());
    entryVms().forEach(vm -> versions.putIfAbsent(vm, UNKNOWN_VERSION));
    versions.forEach(
        (vm, version) -> vms.addObject().put("vm", vm).put("configurationVersion", version));
  }
}
