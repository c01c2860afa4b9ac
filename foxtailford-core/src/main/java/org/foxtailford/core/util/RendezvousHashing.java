package org.foxtailford.core.util;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous (highest-random-weight) hashing: ranks names for a subject. The ranking is the same on
 * every VM, and adding or removing a name leaves the order of the others unchanged.
 */
public final class RendezvousHashing {

  private static final LongHashFunction XXH3 = LongHashFunction.xx3();

  private RendezvousHashing() {}

  /**
   * Ranks names by their weight for a subject, highest first.
   *
   * @param subject the subject, such as a key, for which the names are ranked
   * @param names the names to rank
   */
  public static List<String> rank(String subject, Collection<String> names) {
    return names.stream()
        .map(name -> new WeightedName(name, weight(subject, name)))
        .sorted(WeightedName.DESCENDING_WEIGHT)
        .map(WeightedName::name)
        .toList();
  }

  private record WeightedName(String name, long weight) {

    private static final Comparator<WeightedName> DESCENDING_WEIGHT =
        ((Comparator<WeightedName>) (a, b) -> Long.compareUnsigned(b.weight, a.weight))
            .thenComparing(WeightedName::name);
  }

  private static long weight(String subject, String name) {
    return XXH3.hashChars(name + '\u0000' + subject);
  }
}
