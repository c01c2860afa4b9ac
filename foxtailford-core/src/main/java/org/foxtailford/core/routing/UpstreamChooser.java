package org.foxtailford.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.foxtailford.core.configuration.Upstream;

/** Chooses an upstream of a service without keys. */
@FunctionalInterface
public interface UpstreamChooser {

  /**
   * Chooses one of the candidates.
   *
   * @param candidates upstreams with room, of the same data centre
   * @param cost expected cost of one more request at an upstream; lower is better
   * @return the choice; empty only if there are no candidates
   */
  Optional<Upstream> choose(List<Upstream> candidates, ToDoubleFunction<Upstream> cost);
}
