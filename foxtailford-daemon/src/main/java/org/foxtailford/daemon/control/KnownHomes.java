package org.foxtailford.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.HomesRow;

/**
 * The newest rows of homes that this VM has seen, whether it read them itself or another entry VM
 * sent them.
 *
 * <p>A row of another VM only replaces one that the last read of the table covered: so what the
 * {@link HomesSnapshot} tells of its age holds for every service in it. Thread-safe.
 */
public final class KnownHomes {

  private final RoutingState state;
  private final Consumer<HomesRow> changes;
  private final Map<String, HomesRow> newest = new HashMap<>();
  private final Set<String> covered = new HashSet<>();
  private long asOfMs = Long.MIN_VALUE;

  /**
   * Creates the rows before any was seen.
   *
   * @param state receives the homes to route by
   * @param changes receives each row that this VM was the first to read newer than it knew
   */
  public KnownHomes(RoutingState state, Consumer<HomesRow> changes) {
    this.state = Assert.notNull(state, "state");
    this.changes = Assert.notNull(changes, "changes");
  }

  /**
   * Takes what one read of the table showed.
   *
   * @param rows one of each service with keys
   * @param startedMs reading of this VM's clock before the read
   */
  public void read(List<HomesRow> rows, long startedMs) {
    List<HomesRow> changed = new ArrayList<>();
    synchronized (this) {
      covered.clear();
      rows.forEach(row -> covered.add(row.getKey()));
      rows.stream().filter(this::takeIfNewer).forEach(changed::add);
      asOfMs = Math.max(asOfMs, startedMs);
      publish();
    }
    changed.forEach(changes);
  }

  /**
   * Takes a row that another entry VM sent.
   *
   * @return whether it is newer than what was known
   */
  public synchronized boolean receive(HomesRow row) {
    boolean taken = covered.contains(row.getKey()) && takeIfNewer(row);
    if (taken) {
      publish();
    }
    return taken;
  }

  private boolean takeIfNewer(HomesRow row) {
    HomesRow known = newest.get(row.getKey());
    if (known != null && known.getVersion() >= row.getVersion()) {
      return false;
    }
    newest.put(row.getKey(), row);
    return true;
  }

  private void publish() {
    List<HomeRanges> ranges = covered.stream().map(key -> newest.get(key).getHomes()).toList();
    state.acceptHomes(new HomesSnapshot(HomeDirectory.of(ranges), asOfMs));
  }
}
