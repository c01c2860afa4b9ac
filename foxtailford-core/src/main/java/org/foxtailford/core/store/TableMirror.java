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
 * Copy of a table, fed by the store or by other entry VMs.
 *
 * <p>A row never goes back to an older version, whatever order the pages come in. Removed rows are
 * remembered, so that they can be passed on and late pages do not bring them back. Not thread-safe.
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

  /** Returns the version up to which the copy is complete; 0 before the first whole page. */
  public long version() {
    return version;
  }

  /** Returns a present row. */
  public Optional<Row> find(String key) {
    Row row = rows.get(key);
    return row == null || row.deleted() ? Optional.empty() : Optional.of(row);
  }

  /** Returns all rows, removed ones too. */
  public Collection<Row> all() {
    return rows.values();
  }

  /** Returns rows changed after a version; all of them for version 0. */
  public List<Row> changedAfter(long after) {
    List<Row> changed = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.version() > after) {
        changed.add(row);
      }
    }
    return changed;
  }

  /**
   * Takes a page.
   *
   * @return the rows that changed by it, removals included
   */
  public List<Row> apply(RowPage page) {
    List<Row> changed = new ArrayList<>();
    for (Row row : page.rows()) {
      take(row, changed);
    }
    if (page.snapshot()) {
      removeMissing(page, changed);
    }
    version = Math.max(version, page.version());
    return changed;
  }

  private void take(Row row, List<Row> changed) {
    Row known = rows.get(row.key());
    if (known == null || row.version() > known.version()) {
      rows.put(row.key(), row);
      changed.add(row);
    }
  }

  private void removeMissing(RowPage page, List<Row> changed) {
    Set<String> present = new HashSet<>();
    page.rows().forEach(row -> present.add(row.key()));
    for (Row row : List.copyOf(rows.values())) {
      if (!row.deleted() && !present.contains(row.key()) && row.version() <= page.version()) {
        Row removed = new Row(row.key(), new byte[0], page.version(), true);
        rows.put(row.key(), removed);
        changed.add(removed);
      }
    }
  }
}
