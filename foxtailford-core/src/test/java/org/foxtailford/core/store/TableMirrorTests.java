package org.foxtailford.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

public class TableMirrorTests {

  private static Row row(String key, String value, long version) {
    return new Row(key, value.getBytes(StandardCharsets.UTF_8), version, false);
  }

  private static Row removed(String key, long version) {
    return new Row(key, new byte[0], version, true);
  }

  private static TableMirror mirror(RowPage... pages) {
    TableMirror mirror = new TableMirror("t");
    for (RowPage page : pages) {
      mirror.apply(page);
    }
    return mirror;
  }

  @Test
  public void delayedOlderPageChangesNothing() {
    TableMirror mirror =
        mirror(
            new RowPage(List.of(row("config", "new", 9)), 9, false),
            new RowPage(List.of(row("config", "old", 5)), 6, false));
    assertThat(mirror.find("config").orElseThrow().version()).isEqualTo(9);
    assertThat(mirror.version()).isEqualTo(9);
  }

  @Test
  public void removedRowIsNotRestoredByADelayedPage() {
    TableMirror mirror =
        mirror(
            new RowPage(List.of(removed("u", 9)), 9, false),
            new RowPage(List.of(row("u", "x", 5)), 8, false));
    assertThat(mirror.find("u")).isEmpty();
  }

  @Test
  public void snapshotRemovesMissingRowsUnlessTheyAreNewer() {
    TableMirror mirror = mirror(new RowPage(List.of(row("a", "x", 3), row("b", "x", 12)), 3, true));
    List<Row> changed = mirror.apply(new RowPage(List.of(), 10, true));
    assertThat(changed).extracting(Row::key).containsExactly("a");
    assertThat(mirror.find("b")).isPresent();
  }

  @Test
  public void changesIncludeRemovals() {
    TableMirror mirror =
        mirror(new RowPage(List.of(row("a", "x", 3), row("b", "x", 4), removed("c", 5)), 5, false));
    assertThat(mirror.changedAfter(3)).extracting(Row::key).containsExactlyInAnyOrder("b", "c");
  }
}
