package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.util.Assert;

/**
 * Chooses the few entry VMs of a data centre that read its lease row in every renewal round, so
 * that the number of reads does not grow with the number of entry VMs.
 *
 * <p>Safety does not depend on the choice: VMs with different views of the live VMs may choose
 * different candidates. Immutable.
 */
public final class LeaseCandidates {

  private final String dataCentre;
  private final int count;

  /**
   * Creates a selector of candidates.
   *
   * @param dataCentre data centre of the lease
   * @param count maximum number of candidates
   */
  public LeaseCandidates(String dataCentre, int count) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    Assert.isTrue(count > 0, "count must be positive");
    this.count = count;
  }

  /**
   * Returns the VMs with the lowest rendezvous hashes, or all VMs if there are no more than the
   * maximum.
   */
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
