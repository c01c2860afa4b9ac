package org.foxtailford.core.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.util.Assert;

/**
 * Local copy of a table, updated from the store or from other entry VMs.
 *
 * <p>Within an era a row is never replaced by an older version, whatever the order of the pages.
 * Removed rows are kept as tombstones, so that removals can be forwarded and are not undone by
 * delayed pages. What was removed before a snapshot has no tombstone: rows up to its version that
 * it lacks are not taken from an older copy, and a copy that is older than it is given all rows.
 *
 * <p>A later era begins with a snapshot, since changes of one era don't apply to the copy of
 * another. Rows that the snapshot lacks are carried over until {@link #dropCarried()}: the restored
 * store may have lost them, and their writers write them again. Not thread-safe.
 */
public final class TableMirror {

  private final String table;
  private final Map<String, Row> rows = new HashMap<>();
  private StoreVersion version = StoreVersion.NONE;
  private StoreVersion eraBegin = StoreVersion.NONE;
  private StoreVersion snapshotVersion = StoreVersion.NONE;

  /** Creates an empty copy. */
  public TableMirror(String table) {
    this.table = Assert.hasLength(table, "table");
  }

  /** Returns the name of the table. */
  public String table() {
    return table;
  }

  /**
   * Returns the version up to which the copy is complete; {@link StoreVersion#NONE} before the
   * first page.
   */
  public StoreVersion version() {
    return version;
  }

  /** Returns the version of the snapshot with which the copy's era began; of a peer's, if older. */
  public StoreVersion eraBegin() {
    return eraBegin;
  }

  /** Returns a row; empty if it does not exist or was removed. */
  public Optional<Row> find(String key) {
    Row row = rows.get(key);
    return row == null || row.deleted() ? Optional.empty() : Optional.of(row);
  }

  /** Returns all rows, including tombstones and rows carried over from an earlier era. */
  public Collection<Row> all() {
    return rows.values();
  }

  /**
   * Returns whether a row may have been written before the store was restored, so that it may be
   * older than what was known in the era before; false in the first era.
   */
  public boolean isRestored(Row row) {
    return eraBegin.era() > 0
        && row.version().era() == eraBegin.era()
        && !row.version().isNewerThan(eraBegin);
  }

  /**
   * Returns a page that brings another copy from a version to this one's: the rows that changed
   * after it, tombstones included, or a snapshot if not all removals since then are known.
   */
  public RowPage changesAfter(StoreVersion afterVersion) {
    boolean whole = snapshotVersion.isAheadOf(afterVersion);
    List<Row> changed = new ArrayList<>();
    for (Row row : rows.values()) {
      if (!isCarried(row) && (whole || row.version().isAheadOf(afterVersion))) {
        changed.add(row);
      }
    }
    return new RowPage(changed, version, whole);
  }

  private boolean isCarried(Row row) {
    return row.version().era() != version.era();
  }

  /**
   * Applies a page. Rows that a snapshot lacks are removed unless they are newer than it. A page of
   * an earlier era is ignored, and so is one of a later era unless it is a snapshot.
   *
   * @return the rows that changed, including tombstones
   */
  public List<Row> apply(RowPage page) {
    return apply(page, page.version());
  }

  /**
   * Applies a page of a copy whose era began at a given version; see {@link #apply(RowPage)}.
   *
   * @param pageEraBegin version of the snapshot with which the era of the page's source began
   * @return the rows that changed, including tombstones
   */
  public List<Row> apply(RowPage page, StoreVersion pageEraBegin) {
    long pageEra = page.version().era();
    if (pageEra < version.era() || pageEra > version.era() && !page.snapshot()) {
      return List.of();
    }
    if (pageEra > version.era()) {
      eraBegin = pageEraBegin;
      version = page.version();
    }
    List<Row> changed = new ArrayList<>();
    boolean latest = page.snapshot() && !snapshotVersion.isAheadOf(page.version());
    StoreVersion missingUpTo = latest ? StoreVersion.NONE : snapshotVersion;
    for (Row row : page.rows()) {
      update(row, missingUpTo, changed);
    }
    if (page.snapshot()) {
      removeMissing(page, changed);
      snapshotVersion = latest ? page.version() : snapshotVersion;
    }
    version = page.version().isNewerThan(version) ? page.version() : version;
    return changed;
  }

  /** Takes a row that is newer than its copy; one without a copy was removed up to a version. */
  private void update(Row row, StoreVersion missingUpTo, List<Row> changed) {
    Row previous = rows.get(row.key());
    boolean newer =
        previous == null || isCarried(previous)
            ? row.version().isAheadOf(missingUpTo)
            : row.version().isNewerThan(previous.version());
    if (newer) {
      rows.put(row.key(), row);
      changed.add(row);
    }
  }

  private void removeMissing(RowPage page, List<Row> changed) {
    Set<String> presentKeys = new HashSet<>();
    page.rows().forEach(row -> presentKeys.add(row.key()));
    for (Row row : List.copyOf(rows.values())) {
      if (!row.deleted()
          && !isCarried(row)
          && !presentKeys.contains(row.key())
          && !row.version().isNewerThan(page.version())) {
        changed.add(remove(row, page.version()));
      }
    }
  }

  private Row remove(Row row, StoreVersion removedAt) {
    Row removed = new Row(row.key(), new byte[0], removedAt, true);
    rows.put(row.key(), removed);
    return removed;
  }

  /**
   * Removes the rows of earlier eras that were not written again in this one.
   *
   * @return tombstones of the removed rows
   */
  public List<Row> dropCarried() {
    List<Row> changed = new ArrayList<>();
    for (Row row : List.copyOf(rows.values())) {
      if (isCarried(row)) {
        Row removed = remove(row, version);
        if (!row.deleted()) {
          changed.add(removed);
        }
      }
    }
    return changed;
  }
}
