package org.foxtailford.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

public class LineWriterTests {

  private static final int TIMEOUT_MS = 10_000;
  private static final byte[] LINE = "line\n".getBytes(StandardCharsets.UTF_8);

  private final LineQueue queue = new LineQueue(1000, 1 << 20, 1000, () -> 0);

  /** Guards against a stop that waits for a reader of standard output until it is killed. */
  @Test(timeOut = TIMEOUT_MS)
  public void readerThatIsStuckDoesNotHoldUpTheStop() {
    CountDownLatch stuck = new CountDownLatch(1);
    LineWriter writer =
        new LineWriter(
            queue,
            new OutputStream() {
              @Override
              public void write(int b) {
                try {
                  stuck.await();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }
            });
    queue.add(LINE, false);
    assertThat(writer.tryDrain(50)).isFalse();
    stuck.countDown();
  }

  @Test(timeOut = TIMEOUT_MS)
  public void queuedLinesAreWritten() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    queue.add(LINE, false);
    assertThat(new LineWriter(queue, out).tryDrain(TIMEOUT_MS)).isTrue();
    assertThat(out.toByteArray()).isEqualTo(LINE);
  }
}
