package org.foxtailford.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpServer;

/**
 * Shuts down the callers' HTTP listener without aborting requests in flight.
 *
 * <p>Until the load balancer has noticed that this VM is not ready, requests are still served, and
 * each answer asks the caller to close its connection. Then the listener stops accepting
 * connections, requests that may outlast the grace period are refused, and the shutdown completes
 * once no request is in flight or the grace period ends.
 */
public final class GracefulShutdown {

  /** Interval between checks for requests in flight, in milliseconds. */
  private static final long POLL_INTERVAL_MS = 20;

  /** Number of consecutive idle checks that ends the shutdown before the grace period does. */
  private static final int REQUIRED_IDLE_POLLS = 2;

  private final HttpServer server;
  private final CallerHandler handler;
  private final RequestPath path;
  private final MillisClock clock;
  private final TaskScheduler scheduler;

  public GracefulShutdown(
      HttpServer server,
      CallerHandler handler,
      RequestPath path,
      MillisClock clock,
      TaskScheduler scheduler) {
    this.server = Assert.notNull(server, "server");
    this.handler = Assert.notNull(handler, "handler");
    this.path = Assert.notNull(path, "path");
    this.clock = Assert.notNull(clock, "clock");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
  }

  /**
   * Starts the shutdown.
   *
   * @param announceMs time allowed for the load balancer to notice, in milliseconds
   * @param graceMs maximum wait for requests in flight after that, in milliseconds
   * @return future that completes when no request is in flight or the grace period has ended
   */
  public CompletableFuture<Void> start(long announceMs, long graceMs) {
    handler.requestConnectionClose();
    CompletableFuture<Void> idle = new CompletableFuture<>();
    scheduler.schedule(
        () -> {
          long graceEndMs = clock.nowMs() + graceMs;
          path.acceptUntil(graceEndMs);
          server.stopListening();
          awaitIdle(graceEndMs, 0, idle);
        },
        announceMs);
    return idle;
  }

  private void awaitIdle(long graceEndMs, int idlePolls, CompletableFuture<Void> idle) {
    boolean isIdle = path.inFlight() == 0 && server.busyConnections() == 0;
    int consecutiveIdlePolls = isIdle ? idlePolls + 1 : 0;
    if (consecutiveIdlePolls >= REQUIRED_IDLE_POLLS || clock.nowMs() >= graceEndMs) {
      path.stopAccepting();
      idle.complete(null);
      return;
    }
    scheduler.schedule(() -> awaitIdle(graceEndMs, consecutiveIdlePolls, idle), POLL_INTERVAL_MS);
  }
}
