package org.foxtailford.core.ownership;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;

/** Port to the grant interface of upstreams. */
public interface UpstreamGrants {

  /** Reads what an upstream holds, without changing it. */
  CompletableFuture<GrantReply> status(Upstream upstream);

  /** Sends a grant. A failed future says nothing about whether the upstream received it. */
  CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request);
}
