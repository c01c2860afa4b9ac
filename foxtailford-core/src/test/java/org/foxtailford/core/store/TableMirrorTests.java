package org.foxtailford.core.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class TableMirrorTests {

  private static StoreVersion version(long number) {
    return new StoreVersion(0, number);
  }

  private static Row row(String key, String value, long version) {
    return new Row(key, value.getBytes(StandardCharsets.UTF_8), version(version), false);
  }

  private static Row removed(String key, long version) {
    return new Row(key, new byte[0], version(version), true);
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
            new RowPage(List.of(row("config", "new", 9)), version(9), false),
            new RowPage(List.of(row("config", "old", 5)), version(6), false));
    assertThat(mirror.find("config").orElseThrow().version()).isEqualTo(version(9));
    assertThat(mirror.version()).isEqualTo(version(9));
  }

  @Test
  public void removedRowIsNotRestoredByADelayedPage() {
    TableMirror mirror =
        mirror(
            new RowPage(List.of(removed("u", 9)), version(9), false),
            new RowPage(List.of(row("u", "x", 5)), version(8), false));
    assertThat(mirror.find("u")).isEmpty();
  }

  @Test
  public void snapshotRemovesMissingRowsUnlessTheyAreNewer() {
    TableMirror mirror =
        mirror(new RowPage(List.of(row("a", "x", 3), row("b", "x", 12)), version(3), true));
    List<Row> changed = mirror.apply(new RowPage(List.of(), version(10), true));
    assertThat(changed).extracting(Row::key).containsExactly("a");
    assertThat(mirror.find("b")).isPresent();
  }

  /** Guards against an upstream that has left and comes back from the older copy of a peer. */
  @Test
  public void rowThatASnapshotLacksIsNotTakenFromAnOlderCopy() {
    TableMirror mirror = mirror(new RowPage(List.of(row("a", "x", 3)), version(9), true));
    RowPage older = new RowPage(List.of(row("a", "x", 3), row("b", "x", 5)), version(8), false);
    assertThat(mirror.apply(older)).isEmpty();
    assertThat(mirror.apply(new RowPage(older.rows(), version(8), true))).isEmpty();
    assertThat(mirror.find("b")).isEmpty();
    assertThat(mirror.apply(new RowPage(List.of(row("b", "y", 10)), version(10), false)))
        .extracting(Row::key)
        .containsExactly("b");
  }

  /** Guards against a removal that a copy never heard of, so that a peer keeps the row for good. */
  @Test
  public void copyThatBeganAfterARemovalGivesAllRows() {
    TableMirror old =
        mirror(new RowPage(List.of(row("a", "x", 3), row("b", "x", 5)), version(6), true));
    TableMirror begun = mirror(new RowPage(List.of(row("a", "x", 3)), version(9), true));
    assertThat(old.apply(begun.changesAfter(old.version())))
        .extracting(Row::key)
        .containsExactly("b");
    assertThat(old.find("b")).isEmpty();
    assertThat(old.find("a")).isPresent();
    assertThat(begun.changesAfter(version(9)).snapshot()).isFalse();
  }

  @Test
  public void latestSnapshotIsTakenAsItIs() {
    TableMirror mirror = mirror(new RowPage(List.of(), version(9), true));
    mirror.apply(new RowPage(List.of(row("a", "x", 3)), version(9), true));
    assertThat(mirror.find("a")).isPresent();
  }

  @Test
  public void changesIncludeRemovals() {
    TableMirror mirror =
        mirror(
            new RowPage(
                List.of(row("a", "x", 3), row("b", "x", 4), removed("c", 5)), version(5), false));
    assertThat(mirror.changesAfter(version(3)).rows())
        .extracting(Row::key)
        .containsExactlyInAnyOrder("b", "c");
  }

  private static RowPage pageOfEra(long era, long number, boolean snapshot, Row... rows) {
    List<Row> ofEra = new ArrayList<>();
    for (Row row : rows) {
      ofEra.add(
          new Row(
              row.key(),
              row.value(),
              new StoreVersion(era, row.version().number()),
              row.deleted()));
    }
    return new RowPage(ofEra, new StoreVersion(era, number), snapshot);
  }

  @Test
  public void rowsOfARestoredStoreReplaceNewerNumbersOfTheEraBefore() {
    TableMirror mirror = mirror(new RowPage(List.of(row("a", "new", 90)), version(90), true));
    List<Row> changed = mirror.apply(pageOfEra(1, 40, true, row("a", "old", 30)));
    assertThat(changed).hasSize(1);
    assertThat(mirror.find("a").orElseThrow().version()).isEqualTo(new StoreVersion(1, 30));
    assertThat(mirror.version()).isEqualTo(new StoreVersion(1, 40));
  }

  @Test
  public void changesOfAnotherEraAreNotApplied() {
    TableMirror mirror = mirror(new RowPage(List.of(row("a", "x", 3)), version(5), true));
    assertThat(mirror.apply(pageOfEra(1, 9, false, row("a", "y", 9)))).isEmpty();
    mirror.apply(pageOfEra(1, 4, true, row("a", "z", 3)));
    assertThat(mirror.apply(new RowPage(List.of(row("a", "late", 99)), version(99), true)))
        .as("late answer of the era before")
        .isEmpty();
    assertThat(mirror.version()).isEqualTo(new StoreVersion(1, 4));
  }

  @Test
  public void rowsThatARestoredStoreLacksAreKeptUntilTheyAreDropped() {
    TableMirror mirror =
        mirror(new RowPage(List.of(row("a", "x", 3), row("b", "x", 8)), version(8), true));
    mirror.apply(pageOfEra(1, 5, true, row("a", "x", 3)));
    assertThat(mirror.find("b")).isPresent();
    assertThat(mirror.changesAfter(StoreVersion.NONE).rows())
        .extracting(Row::key)
        .containsExactly("a");
    mirror.apply(pageOfEra(1, 6, true, row("a", "x", 3)));
    assertThat(mirror.find("b")).as("after another snapshot").isPresent();
    assertThat(mirror.dropCarried()).extracting(Row::key).containsExactly("b");
    assertThat(mirror.find("b")).isEmpty();
  }

  @Test
  public void rowWrittenAgainInTheNewEraIsNotDropped() {
    TableMirror mirror = mirror(new RowPage(List.of(row("b", "x", 8)), version(8), true));
    mirror.apply(pageOfEra(1, 5, true));
    mirror.apply(pageOfEra(1, 6, false, row("b", "x", 6)));
    assertThat(mirror.dropCarried()).isEmpty();
    assertThat(mirror.isRestored(mirror.find("b").orElseThrow())).isFalse();
  }

  @Test
  public void copyTakenFromAPeerKnowsWhichRowsAreRestored() {
    TableMirror mirror = mirror(new RowPage(List.of(row("a", "x", 3)), version(5), true));
    mirror.apply(pageOfEra(1, 9, true, row("a", "x", 3), row("b", "x", 7)), new StoreVersion(1, 6));
    assertThat(mirror.isRestored(mirror.find("a").orElseThrow())).isTrue();
    assertThat(mirror.isRestored(mirror.find("b").orElseThrow())).isFalse();
  }

  @Test
  public void versionsOfDifferentErasCannotBeCompared() {
    assertThatThrownBy(() -> version(3).isNewerThan(new StoreVersion(1, 2)))
        .isInstanceOf(IllegalArgumentException.class);
    assertThat(new StoreVersion(1, 2).isAheadOf(version(3))).isTrue();
  }
}
