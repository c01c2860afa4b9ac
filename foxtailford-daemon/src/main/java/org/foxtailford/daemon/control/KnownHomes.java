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
 * Holds the newest homes row of each service, read from the table by this VM or received from
 * another entry VM.
 *
 * <p>A received row is accepted only for a service that the last table read covered, so that the
 * age of the {@link HomesSnapshot} applies to every service in it. Thread-safe.
 */
public final class KnownHomes {

  private final RoutingState state;
  private final Consumer<HomesRow> changeListener;
  private final Map<String, HomesRow> newest = new HashMap<>();
  private final Set<String> covered = new HashSet<>();
  private long asOfMs = Long.MIN_VALUE;

  /**
   * Creates an instance without rows.
   *
   * @param state updated after each table read and each accepted row
   * @param changeListener notified of each row for which a table read returned a newer version
   */
  public KnownHomes(RoutingState state, Consumer<HomesRow> changeListener) {
    this.state = Assert.notNull(state, "state");
    this.changeListener = Assert.notNull(changeListener, "changeListener");
  }

  /**
   * Applies the result of a table read.
   *
   * @param rows one row per keyed service
   * @param startedMs time of this VM's clock before the read, in milliseconds
   */
  public void read(List<HomesRow> rows, long startedMs) {
    List<HomesRow> changed = new ArrayList<>();
    synchronized (this) {
      covered.clear();
      rows.forEach(row -> covered.add(row.getKey()));
      rows.stream().filter(this::updateIfNewer).forEach(changed::add);
      asOfMs = Math.max(asOfMs, startedMs);
      publish();
    }
    changed.forEach(changeListener);
  }

  /**
   * Applies a row that another entry VM sent.
   *
   * @return whether the row was newer than the known one and was accepted
   */
  public synchronized boolean receive(HomesRow row) {
    boolean updated = covered.contains(row.getKey()) && updateIfNewer(row);
    if (updated) {
      publish();
    }
    return updated;
  }

  private boolean updateIfNewer(HomesRow row) {
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
