package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;

/**
 * Reports the owner of a key and the routing decision for a request, without sending the request.
 * Thread-safe.
 */
final class RoutingResources {

  private static final long NO_DEADLINE_MS = Long.MAX_VALUE;

  private final OperatorContext context;

  RoutingResources(OperatorContext context) {
    this.context = Assert.notNull(context, "context");
  }

  CompletableFuture<HttpAnswer> owner(OperatorRequest request) {
    List<String> remainingSegments = request.segmentsAfter(2);
    if (remainingSegments.size() < 2 || remainingSegments.get(0).isEmpty()) {
      throw new ResultCodeException(
          ResultCode.UNKNOWN_RESOURCE, "the path must be /v1/owner/SERVICE/KEY");
    }
    String service = remainingSegments.get(0);
    requireKeyed(service);
    String key = String.join("/", remainingSegments.subList(1, remainingSegments.size()));
    ObjectNode node = JsonAnswers.object().put("service", service).put("key", key);
    describeOwner(node, service, key);
    return JsonAnswers.okNow(node);
  }

  private void requireKeyed(String service) {
    ServiceView view =
        context
            .snapshots()
            .get()
            .configuration()
            .findService(service)
            .orElseThrow(
                () ->
                    new ResultCodeException(
                        ResultCode.UNKNOWN_SERVICE, "no service \"" + service + "\""));
    if (!view.definition().getKeyed()) {
      throw new ResultCodeException(
          ResultCode.UNKNOWN_RESOURCE, "service \"" + service + "\" has no keys");
    }
  }

  private void describeOwner(ObjectNode node, String service, String key) {
    RoutingSnapshot snapshot = context.snapshots().get();
    long hash = KeyHashing.hash(key);
    Optional<String> home = snapshot.homes().home(service, hash);
    Optional<SliceAssignment> owner = snapshot.owners().owner(service, hash);
    node.put("hash", String.format("%016x", hash));
    node.put("home", home.orElse(null));
    node.put("owner", owner.map(SliceAssignment::upstream).orElse(null));
    node.put("fence", owner.map(assignment -> assignment.fence().toString()).orElse(null));
    node.put("since", owner.flatMap(RoutingResources::findGrantTime).orElse(null));
    node.put("slice", owner.map(assignment -> assignment.range().toString()).orElse(null));
    node.put("ownershipVersion", snapshot.owners().version().toString());
    node.put("reason", ownershipReason(snapshot, home, owner));
  }

  private static Optional<String> findGrantTime(SliceAssignment owner) {
    return owner.grantedAtMs() == 0
        ? Optional.empty()
        : Optional.of(Instant.ofEpochMilli(owner.grantedAtMs()).toString());
  }

  private static String ownershipReason(
      RoutingSnapshot snapshot, Optional<String> home, Optional<SliceAssignment> owner) {
    if (home.isEmpty()) {
      return "the range of the key has no home data centre yet";
    }
    if (!home.get().equals(snapshot.dataCentre())) {
      return "its home is " + home.get() + "; ask an entry VM there for the owner";
    }
    return owner
        .map(
            assignment ->
                "the leader of " + home.get() + " granted its slice to " + assignment.upstream())
        .orElse("the leader of " + home.get() + " has granted its slice to nobody");
  }

  CompletableFuture<HttpAnswer> explain(OperatorRequest request) {
    String service = request.requiredParameter("service");
    String kind = request.requiredParameter("kind");
    Optional<String> key = request.parameter("key");
    Optional<String> requestId = Optional.of(request.parameter("request-id").orElse("why"));
    RoutingSnapshot snapshot = context.snapshots().get();
    RequestAttributes attributes =
        new RequestAttributes(service, kind, key, requestId, NO_DEADLINE_MS, 0);
    RouteDecision decision = context.router().decide(attributes, snapshot, Set.of(), 0);
    ObjectNode node = JsonAnswers.object().put("vm", context.vm());
    node.put("configurationVersion", snapshot.configuration().version());
    describeDecision(node, decision);
    snapshot
        .configuration()
        .findService(service)
        .ifPresent(view -> describeService(node, view, snapshot, key));
    return JsonAnswers.okNow(node);
  }

  private void describeService(
      ObjectNode node, ServiceView view, RoutingSnapshot snapshot, Optional<String> key) {
    node.put("selector", view.definition().getSelector());
    node.put("matchingUpstreams", view.upstreams().size());
    node.put("availableHere", view.availableIn(snapshot.dataCentre()).size());
    if (view.definition().getKeyed() && key.isPresent()) {
      describeOwner(node, view.definition().getName(), key.get());
    }
  }

  private static void describeDecision(ObjectNode node, RouteDecision decision) {
    if (decision instanceof RouteDecision.ToOwner owner) {
      node.put("decision", "send to the owner of the key");
      node.put("upstream", owner.upstream().name());
    } else if (decision instanceof RouteDecision.ToAny any) {
      node.put("decision", "send to an upstream that the selector matches");
      node.put("upstream", any.upstream().name());
    } else if (decision instanceof RouteDecision.ToDataCentre relay) {
      node.put("decision", "relay to the home data centre of the key");
      node.put("dataCentre", relay.dataCentre());
    } else if (decision instanceof RouteDecision.Wait) {
      node.put("decision", "wait until an upstream has room");
    } else if (decision instanceof RouteDecision.Refuse refuse) {
      node.put("decision", "refuse");
      node.put("code", refuse.code().number());
      node.put("name", refuse.code().name());
      node.put("message", refuse.message());
    }
  }
}
