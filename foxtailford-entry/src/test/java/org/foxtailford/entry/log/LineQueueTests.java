package org.foxtailford.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.testng.annotations.Test;

public class LineQueueTests {

  private static final byte[] LINE = new byte[100];

  private long nowMs;

  @Test
  public void onlyRoutineLinesAreLimitedInRate() {
    LineQueue queue = new LineQueue(10_000, 1 << 24, 50, () -> nowMs);
    for (int i = 0; i < 60; i++) {
      queue.add(LINE, true);
    }
    assertThat(queue.takeDropped()).isEqualTo(new LineQueue.Dropped(10, 0));
    queue.add(LINE, false);
    nowMs += 100;
    for (int i = 0; i < 10; i++) {
      queue.add(LINE, true);
    }
    assertThat(queue.takeDropped()).isEqualTo(new LineQueue.Dropped(5, 0));
  }

  @Test
  public void lineOfDroppedLinesHasTheCommonFields() throws IOException {
    JsonNode line =
        new ObjectMapper().readTree(JsonLogBackend.dropped(new LineQueue.Dropped(3, 2)));
    assertThat(line.path("time").asLong()).isPositive();
    assertThat(line.path("level").asText()).isEqualTo("WARNING");
    assertThat(line.path("event").asText()).isEqualTo("log lines dropped");
    assertThat(line.has("process")).isTrue();
    assertThat(line.path("routine").asLong()).isEqualTo(3);
    assertThat(line.path("failures").asLong()).isEqualTo(2);
  }

  @Test
  public void routineLinesLeaveCapacityForFailures() {
    LineQueue queue = new LineQueue(100, 1 << 20, 1000, () -> nowMs);
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
  public void queueIsBoundedInBytes() {
    LineQueue queue = new LineQueue(1000, 1000, 1000, () -> nowMs);
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
