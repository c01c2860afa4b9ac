package org.foxtailford.core.store;

import java.util.List;

/**
 * Rows read from a table.
 *
 * @param rows rows in the store's order
 * @param version version of the store up to which the rows are known
 * @param snapshot whether these are all rows of the table, not just changed ones
 */
public record RowPage(List<Row> rows, long version, boolean snapshot) {

  /** Copies the rows. */
  public RowPage {
    rows = List.copyOf(rows);
  }
}
