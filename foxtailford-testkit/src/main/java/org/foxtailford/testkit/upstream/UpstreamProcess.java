package org.foxtailford.testkit.upstream;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/** A stand-in upstream that listens, can be killed and can be started again. Thread-safe. */
public final class UpstreamProcess implements AutoCloseable {

  private static final HttpLimits LIMITS = new HttpLimits(64 << 10, 16 << 20);

  private final UpstreamProfile profile;
  private final Endpoint endpoint;
  private final EventLoopGroup loops;
  private final ScheduledExecutorService timer;
  private final MillisClock clock;
  private final RandomGenerator random;
  private @Nullable HttpServer server;
  private @Nullable UpstreamStandIn standIn;

  public UpstreamProcess(
      UpstreamProfile profile,
      Endpoint endpoint,
      EventLoopGroup loops,
      ScheduledExecutorService timer,
      MillisClock clock,
      RandomGenerator random) {
    this.profile = Assert.notNull(profile, "profile");
    this.endpoint = Assert.notNull(endpoint, "endpoint");
    this.loops = Assert.notNull(loops, "loops");
    this.timer = Assert.notNull(timer, "timer");
    this.clock = Assert.notNull(clock, "clock");
    this.random = Assert.notNull(random, "random");
  }

  /** Starts with a new boot id, without grants and cold. */
  public synchronized void start() {
    if (server != null) {
      return;
    }
    standIn = new UpstreamStandIn(profile, random.nextLong(1, Long.MAX_VALUE), clock, timer);
    server = new HttpServer(loops, LIMITS, standIn);
    server.bind(endpoint);
  }

  /** Cuts every connection and forgets every grant. */
  public synchronized void kill() {
    if (server != null) {
      server.close();
      server = null;
      standIn = null;
    }
  }

  /** Starts or ends the refusal of new requests. */
  public synchronized void setDraining(boolean value) {
    if (standIn != null) {
      standIn.setDraining(value);
    }
  }

  @Override
  public void close() {
    kill();
  }
}
