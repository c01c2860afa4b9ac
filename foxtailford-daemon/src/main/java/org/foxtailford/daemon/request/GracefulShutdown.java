package org.foxtailford.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpServer;

/**
 * Stops the callers' interface without cutting a request off.
 *
 * <p>While the balancer finds out that this VM is not ready, requests are still served, and each
 * answer asks its caller to close the connection. Then no new connection is taken, and the stop
 * ends once nothing is in flight, or at the end of the grace time.
 */
public final class GracefulShutdown {

  private static final long POLL_MS = 20;
  private static final int IDLE_POLLS = 2;

  private final HttpServer server;
  private final CallerHandler handler;
  private final RequestPath path;
  private final MillisClock clock;
  private final TaskScheduler tasks;

  public GracefulShutdown(
      HttpServer server,
      CallerHandler handler,
      RequestPath path,
      MillisClock clock,
      TaskScheduler tasks) {
    this.server = Assert.notNull(server, "server");
    this.handler = Assert.notNull(handler, "handler");
    this.path = Assert.notNull(path, "path");
    this.clock = Assert.notNull(clock, "clock");
    this.tasks = Assert.notNull(tasks, "tasks");
  }

  /**
   * Starts the stop.
   *
   * @param announceMs time for the balancer to notice, in milliseconds
   * @param graceMs longest wait for requests in flight after that, in milliseconds
   * @return completes when nothing is in flight, or when the grace time is over
   */
  public CompletableFuture<Void> start(long announceMs, long graceMs) {
    handler.closeConnections();
    CompletableFuture<Void> idle = new CompletableFuture<>();
    tasks.schedule(
        () -> {
          server.stopListening();
          awaitIdle(clock.nowMs() + graceMs, 0, idle);
        },
        announceMs);
    return idle;
  }

  private void awaitIdle(long untilMs, int idlePolls, CompletableFuture<Void> idle) {
    boolean nothing = path.inFlight() == 0 && server.busyConnections() == 0;
    int polls = nothing ? idlePolls + 1 : 0;
    if (polls >= IDLE_POLLS || clock.nowMs() >= untilMs) {
      path.stopAccepting();
      idle.complete(null);
      return;
    }
    tasks.schedule(() -> awaitIdle(untilMs, polls, idle), POLL_MS);
  }
}
