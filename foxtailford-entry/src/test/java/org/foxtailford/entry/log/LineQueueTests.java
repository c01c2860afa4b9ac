package org.foxtailford.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class LineQueueTests {

  private static final byte[] LINE = new byte[100];

  @Test
  public void routineLinesLeaveRoomForFailures() {
    LineQueue queue = new LineQueue(100, 1 << 20);
    for (int i = 0; i < 200; i++) {
      queue.add(LINE, true);
    }
    for (int i = 0; i < 20; i++) {
      queue.add(LINE, false);
    }
    assertThat(queue.takeDropped()).isEqualTo(new LineQueue.Dropped(125, 0));
    assertThat(queue.takeDropped()).isEqualTo(new LineQueue.Dropped(0, 0));
  }

  @Test
  public void bytesAreBoundedToo() {
    LineQueue queue = new LineQueue(1000, 1000);
    for (int i = 0; i < 20; i++) {
      queue.add(LINE, false);
    }
    assertThat(queue.takeDropped().failures()).isEqualTo(10);
    int lines = 0;
    while (queue.poll().isPresent()) {
      lines++;
    }
    assertThat(lines).isEqualTo(10);
  }
}
