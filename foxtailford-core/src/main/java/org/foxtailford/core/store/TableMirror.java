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
 * <p>A row is never replaced by an older version, whatever the order of the pages. Removed rows are
 * kept as tombstones, so that removals can be forwarded and are not undone by delayed pages. Not
 * thread-safe.
 */
public final class TableMirror {

  private final String table;
  private final Map<String, Row> rows = new HashMap<>();
  private long version;

  /** Creates an empty copy. */
  public TableMirror(String table) {
    this.table = Assert.hasLength(table, "table");
  }

  /** Returns the name of the table. */
  public String table() {
    return table;
  }

  /** Returns the store version up to which the copy is complete; 0 before the first page. */
  public long version() {
    return version;
  }

  /** Returns a row; empty if it does not exist or was removed. */
  public Optional<Row> find(String key) {
    Row row = rows.get(key);
    return row == null || row.deleted() ? Optional.empty() : Optional.of(row);
  }

  /** Returns all rows, including tombstones. */
  public Collection<Row> all() {
    return rows.values();
  }

  /**
   * Returns the rows changed after a store version, tombstones included; all of them for version 0.
   */
  public List<Row> changedAfter(long afterVersion) {
    List<Row> changed = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.version() > afterVersion) {
        changed.add(row);
      }
    }
    return changed;
  }

  /**
   * Applies a page. Rows that a snapshot lacks are removed unless they are newer than it.
   *
   * @return the rows that changed, including tombstones
   */
  public List<Row> apply(RowPage page) {
    List<Row> changed = new ArrayList<>();
    for (Row row : page.rows()) {
      update(row, changed);
    }
    if (page.snapshot()) {
      removeMissing(page, changed);
    }
    version = Math.max(version, page.version());
    return changed;
  }

  private void update(Row row, List<Row> changed) {
    Row previous = rows.get(row.key());
    if (previous == null || row.version() > previous.version()) {
      rows.put(row.key(), row);
      changed.add(row);
    }
  }

  private void removeMissing(RowPage page, List<Row> changed) {
    Set<String> presentKeys = new HashSet<>();
    page.rows().forEach(row -> presentKeys.add(row.key()));
    for (Row row : List.copyOf(rows.values())) {
      if (!row.deleted() && !presentKeys.contains(row.key()) && row.version() <= page.version()) {
        Row removed = new Row(row.key(), new byte[0], page.version(), true);
        rows.put(row.key(), removed);
        changed.add(removed);
      }
    }
  }
}
