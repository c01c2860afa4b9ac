package org.foxtailford.entry.log;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.foxtailford.core.util.Assert;

/**
 * Writes the lines of a queue on a thread of its own, so that a reader of the output that is stuck
 * blocks no other thread.
 */
public final class LineWriter {

  private static final int BUFFER_BYTES = 16 << 10;
  private static final int STACK_BYTES = 128 << 10;

  /** Time for which lines are collected before they are written together, in milliseconds. */
  private static final long BATCH_DELAY_MS = 50;

  private final LineQueue queue;
  private final OutputStream out;

  /** Creates a writer that is not started. */
  public LineWriter(LineQueue queue, OutputStream out) {
    this.queue = Assert.notNull(queue, "queue");
    this.out = new BufferedOutputStream(Assert.notNull(out, "out"), BUFFER_BYTES);
  }

  /** Starts the thread that writes the lines. */
  public void start() {
    Thread thread = new Thread(null, this::run, "log-writer", STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (true) {
        write(queue.take());
        TimeUnit.MILLISECONDS.sleep(BATCH_DELAY_MS);
        drain();
      }
    } catch (IOException e) {
      System.err.println("failed to write to standard output, logging ends: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Writes all queued lines and the numbers of dropped ones.
   *
   * @throws IOException if the output can't be written
   */
  private synchronized void drain() throws IOException {
    Optional<byte[]> next = queue.poll();
    while (next.isPresent()) {
      write(next.get());
      next = queue.poll();
    }
    LineQueue.Dropped dropped = queue.takeDropped();
    if (dropped.routine() + dropped.failures() > 0) {
      write(JsonLogBackend.dropped(dropped));
    }
    out.flush();
  }

  /**
   * Writes all queued lines as {@link #drain()}, but gives up after a time.
   *
   * @param timeoutMs maximum time, in milliseconds
   * @return whether all lines were written
   */
  public boolean tryDrain(long timeoutMs) {
    CompletableFuture<Void> drained = new CompletableFuture<>();
    Thread thread = new Thread(null, () -> drain(drained), "log-drain", STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    try {
      drained.get(timeoutMs, TimeUnit.MILLISECONDS);
      return true;
    } catch (ExecutionException | TimeoutException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void drain(CompletableFuture<Void> drained) {
    try {
      drain();
      drained.complete(null);
    } catch (IOException e) {
      drained.completeExceptionally(e);
    }
  }

  private synchronized void write(byte[] line) throws IOException {
    out.write(line);
  }
}
