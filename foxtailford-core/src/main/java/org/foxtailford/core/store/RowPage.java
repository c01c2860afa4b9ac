package org.foxtailford.core.store;

import java.util.List;
import org.foxtailford.core.util.Assert;

/**
 * Rows read from a table.
 *
 * @param rows rows in the store's order
 * @param version version of the store up to which the page is complete
 * @param snapshot whether the page contains all rows of the table, not only changed ones
 */
public record RowPage(List<Row> rows, StoreVersion version, boolean snapshot) {

  /** Copies the rows and checks that the version is present. */
  public RowPage {
    rows = List.copyOf(rows);
    Assert.notNull(version, "version");
  }
}
