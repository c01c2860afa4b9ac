package org.foxtailford.testkit.simulation;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;

/** Grants as one candidate reaches them over the simulated network. */
final class SimulatedGrants implements UpstreamGrants {

  private final String node;
  private final OwnershipSystem system;

  SimulatedGrants(String node, OwnershipSystem system) {
    this.node = node;
    this.system = system;
  }

  @Override
  public CompletableFuture<GrantReply> status(Upstream upstream) {
    SimulatedUpstream target = system.upstream(upstream.name());
    return system.network().call(node, target, timeoutMs(), target::status);
  }

  @Override
  public CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request) {
    SimulatedUpstream target = system.upstream(upstream.name());
    return system.network().call(node, target, timeoutMs(), () -> apply(target, request));
  }

  private GrantReply apply(SimulatedUpstream target, GrantRequest request) {
    GrantReply reply = target.apply(request);
    system.checker().afterGrant(node, target, request, reply);
    return reply;
  }

  private long timeoutMs() {
    return system.variant().timing().renewIntervalMs();
  }
}
