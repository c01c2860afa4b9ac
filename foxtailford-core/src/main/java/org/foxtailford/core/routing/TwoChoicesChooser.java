package org.foxtailford.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.util.Assert;

/** Chooses the cheaper of two upstreams drawn at random (the power of two choices). */
public final class TwoChoicesChooser implements UpstreamChooser {

  private final RandomGenerator random;

  /**
   * Creates the chooser.
   *
   * @param random source of randomness; must be thread-safe
   */
  public TwoChoicesChooser(RandomGenerator random) {
    this.random = Assert.notNull(random, "random");
  }

  @Override
  public Optional<Upstream> choose(List<Upstream> candidates, ToDoubleFunction<Upstream> cost) {
    int size = candidates.size();
    if (size < 2) {
      return candidates.stream().findFirst();
    }
    int first = random.nextInt(size);
    int second = (first + 1 + random.nextInt(size - 1)) % size;
    Upstream a = candidates.get(first);
    Upstream b = candidates.get(second);
    return Optional.of(cost.applyAsDouble(a) <= cost.applyAsDouble(b) ? a : b);
  }
}
