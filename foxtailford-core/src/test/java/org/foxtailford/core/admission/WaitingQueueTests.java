package org.foxtailford.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class WaitingQueueTests {

  private final WaitingQueue<String> queue = new WaitingQueue<>(2);

  @Test
  public void lowestPriorityIsShedAndHighestLeavesFirst() {
    WaitingQueue<String> waiting = new WaitingQueue<>(2);
    assertThat(waiting.add("audit", 10, 100)).isEmpty();
    assertThat(waiting.add("lookup", 50, 100)).isEmpty();
    assertThat(waiting.add("pledge", 90, 100)).contains("audit");
    assertThat(waiting.add("late lookup", 50, 100)).contains("late lookup");
    assertThat(waiting.poll(0)).contains("pledge");
    assertThat(waiting.poll(0)).contains("lookup");
  }

  @Test
  public void expiredItemsAreNotPolled() {
    queue.add("first", 50, 100);
    assertThat(queue.poll(100)).isEmpty();
    assertThat(queue.removeExpired(100)).containsExactly("first");
    assertThat(queue.size()).isZero();
  }

  @Test
  public void lowPriorityIsShedBeforeTheLimit() {
    PriorityThreshold threshold = new PriorityThreshold(10);
    assertThat(threshold.admits(6, 0)).isTrue();
    assertThat(threshold.admits(7, 0)).isFalse();
    assertThat(threshold.admits(9, 100)).isTrue();
    assertThat(threshold.admits(10, 100)).isFalse();
  }

  @Test
  public void totalBodySizeIsLimited() {
    ByteBudget budget = new ByteBudget(100);
    assertThat(budget.tryReserve(60)).isTrue();
    assertThat(budget.tryReserve(41)).isFalse();
    assertThat(budget.reservedBytes()).isEqualTo(60);
    budget.release(60);
    assertThat(budget.tryReserve(100)).isTrue();
  }
}
