package org.foxtailford.core.store;

import java.util.List;

/**
 * Rows read from a table.
 *
 * @param rows rows in the store's order
 * @param version store version up to which the page is complete
 * @param snapshot whether the page contains all rows of the table, not only changed ones
 */
public record RowPage(List<Row> rows, long version, boolean snapshot) {

  /** Copies the rows. */
  public RowPage {
    rows = List.copyOf(rows);
  }
}
