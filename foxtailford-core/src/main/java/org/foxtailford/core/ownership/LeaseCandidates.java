package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.util.Assert;

/**
 * Chooses the few entry VMs of a data centre that read its lease row at the renewal rate, so that
 * the reads do not grow with the number of entry VMs.
 *
 * <p>Who is chosen is no matter of safety: views of the live VMs may differ. Immutable.
 */
public final class LeaseCandidates {

  private final String dataCentre;
  private final int count;

  /**
   * Creates the choice.
   *
   * @param dataCentre data centre of the lease
   * @param count entry VMs that are chosen
   */
  public LeaseCandidates(String dataCentre, int count) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    Assert.isTrue(count > 0, "count must be positive");
    this.count = count;
  }

  /** Returns the chosen VMs: those with the lowest rendezvous hash. */
  public Set<String> choose(Collection<String> liveEntryVms) {
    return liveEntryVms.stream()
        .distinct()
        .sorted(Comparator.comparingLong(this::hash).thenComparing(Comparator.naturalOrder()))
        .limit(count)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private long hash(String vm) {
    return KeyHashing.hash(dataCentre + '/' + vm);
  }
}
