package org.foxtailford.core.routing;

import java.util.List;
import java.util.Optional;
import org.foxtailford.core.configuration.Upstream;

/** Chooses an upstream of a service without keys. */
@FunctionalInterface
public interface UpstreamChooser {

  /**
   * Chooses one of the candidates.
   *
   * @param candidates upstreams that may take the request, of the same data centre
   * @return the choice; empty if none has room
   */
  Optional<Upstream> choose(List<Upstream> candidates);
}
