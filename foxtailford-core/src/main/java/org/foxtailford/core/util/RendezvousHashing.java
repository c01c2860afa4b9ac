package org.foxtailford.core.util;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** Highest-random-weight order of names: the same everywhere, and little changed by one name. */
public final class RendezvousHashing {

  private static final LongHashFunction XXH3 = LongHashFunction.xx3();

  private RendezvousHashing() {}

  /**
   * Orders names by their weight for a subject, heaviest first.
   *
   * @param subject what the names compete for
   * @param names the competitors
   */
  public static List<String> rank(String subject, Collection<String> names) {
    return names.stream()
        .map(name -> new Weighted(name, weight(subject, name)))
        .sorted(Weighted.HEAVIEST_FIRST)
        .map(Weighted::name)
        .toList();
  }

  private record Weighted(String name, long weight) {

    private static final Comparator<Weighted> HEAVIEST_FIRST =
        ((Comparator<Weighted>) (a, b) -> Long.compareUnsigned(b.weight, a.weight))
            .thenComparing(Weighted::name);
  }

  private static long weight(String subject, String name) {
    return XXH3.hashChars(name + '\u0000' + subject);
  }
}
