package org.foxtailford.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.foxtailford.core.configuration.Upstream;

/** Strategy that chooses an upstream for a request without a key. */
@FunctionalInterface
public interface UpstreamChooser {

  /**
   * Chooses one of the candidates.
   *
   * @param candidates upstreams that can accept a request, all local or all remote
   * @param cost relative cost of one more request at an upstream; lower is better
   * @return the chosen upstream; empty only if there are no candidates
   */
  Optional<Upstream> choose(List<Upstream> candidates, ToDoubleFunction<Upstream> cost);
}
