package org.foxtailford.core.ownership;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;

/** Client of the grant interface of upstreams. */
public interface UpstreamGrants {

  /** Reads the slices that an upstream holds, without changing them. */
  CompletableFuture<GrantReply> status(Upstream upstream);

  /**
   * Sends a grant request. If the future fails, the upstream may or may not have received the
   * request.
   */
  CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request);
}
