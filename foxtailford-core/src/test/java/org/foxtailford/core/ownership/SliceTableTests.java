package org.foxtailford.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.core.slice.SliceRange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SliceTableTests {

  private static final String SERVICE = "menu-planning";
  private static final List<SliceRange> RANGES = SliceRange.divide(4);
  private static final Fence FENCE = new Fence(1, 1);

  private SliceTable table;

  @BeforeMethod
  public void fillTable() {
    table = new SliceTable();
    RANGES.forEach(range -> table.add(new SliceKey(SERVICE, range), 0));
  }

  private SliceState slice(int index) {
    return table.find(new SliceKey(SERVICE, RANGES.get(index))).orElseThrow();
  }

  private void assign(int index, String upstream) {
    table.assign(slice(index), new SliceAssignment(RANGES.get(index), upstream, FENCE));
  }

  @Test
  public void ownedByReturnsOnlySlicesOfThatOwner() {
    assign(0, "u1");
    assign(1, "u2");
    assign(3, "u1");
    assertThat(table.ownedBy("u1")).containsExactly(slice(0), slice(3));
    assertThat(table.ownedBy("u2")).containsExactly(slice(1));
    assertThat(table.ownedBy("u3")).isEmpty();
  }

  @Test
  public void freedSliceIsNoLongerOwned() {
    assign(0, "u1");
    table.free(slice(0), 5);
    assertThat(table.ownedBy("u1")).isEmpty();
    assertThat(slice(0).freedMs()).isEqualTo(5);
  }

  @Test
  public void reassignedSliceIsOwnedByNewOwnerOnly() {
    assign(0, "u1");
    assign(0, "u2");
    assertThat(table.ownedBy("u1")).isEmpty();
    assertThat(table.ownedBy("u2")).containsExactly(slice(0));
  }

  @Test
  public void ownedSlicesCanBeFreedDuringIteration() {
    assign(0, "u1");
    assign(1, "u1");
    table.ownedBy("u1").forEach(state -> table.free(state, 1));
    assertThat(table.ownedBy("u1")).isEmpty();
  }

  @Test
  public void overlappingSlicesAreReturnedInOrder() {
    SliceRange range = new SliceRange(RANGES.get(1).last(), RANGES.get(3).first());
    assertThat(table.overlapping(SERVICE, range)).containsExactly(slice(1), slice(2), slice(3));
    assertThat(table.overlapping(SERVICE, RANGES.get(2))).containsExactly(slice(2));
    assertThat(table.overlapping("pantry", SliceRange.ALL)).isEmpty();
  }

  @Test
  public void sliceWithSameFirstHashButOtherRangeIsDistinct() {
    SliceRange narrow = new SliceRange(RANGES.get(1).first(), RANGES.get(1).first());
    assertThat(table.find(new SliceKey(SERVICE, narrow))).isEmpty();
    assertThatThrownBy(() -> table.add(new SliceKey(SERVICE, narrow), 0))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  public void ownedSliceCannotBeRemoved() {
    assign(0, "u1");
    assertThatThrownBy(() -> table.remove(slice(0))).isInstanceOf(IllegalArgumentException.class);
    table.free(slice(0), 0);
    table.remove(slice(0));
    assertThat(table.slices(SERVICE)).hasSize(RANGES.size() - 1);
  }

  @Test
  public void freedRetiringSliceCanBeAssignedAgain() {
    assign(0, "u1");
    slice(0).setRetiring(true);
    table.free(slice(0), 1);
    assign(0, "u2");
    assertThat(slice(0).isReleasePending()).isFalse();
  }
}
