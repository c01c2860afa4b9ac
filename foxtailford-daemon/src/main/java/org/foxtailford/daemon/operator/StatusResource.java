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

/** State of this VM and the configuration versions of all entry VMs, as far as it hears them. */
final class StatusResource implements OperatorResource {

  /** Version of an entry VM of the VM list that was not heard from. */
  private static final long NOT_HEARD = -1;

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
        .inForce()
        .unreadableReason()
        .ifPresent(reason -> status.put("unreadableConfiguration", reason));
    status.put("ownershipVersion", snapshot.owners().version().toString());
    ObjectNode slices = status.putObject("slicesByUpstream");
    InventoryResources.slicesByUpstream(snapshot).forEach(slices::put);
    putVersions(status.putArray("vms"), snapshot);
    return JsonAnswers.okNow(status);
  }

  private List<String> entryVms() {
    return context.inForce().vms().stream()
        .flatMap(list -> list.getVmsList().stream())
        .filter(vm -> vm.getRole() == VmRole.VM_ROLE_ENTRY)
        .map(VmEntry::getName)
        .toList();
  }

  private void putVersions(ArrayNode vms, RoutingSnapshot snapshot) {
    Map<String, Long> versions = new TreeMap<>(context.peerVersions().get());
    versions.put(context.vm(), snapshot.configuration().version());
    entryVms().forEach(vm -> versions.putIfAbsent(vm, NOT_HEARD));
    versions.forEach(
        (vm, version) -> vms.addObject().put("vm", vm).put("configurationVersion", version));
  }
}
