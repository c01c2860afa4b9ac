package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.http.ConnectionPool.PooledConnection;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ConnectionPoolTests {

  private static final int MAX_CONNECTIONS = 6;
  private static final int TIMEOUT_MS = 500;

  private final List<DefaultChannelPromise> opening = new ArrayList<>();
  private EmbeddedChannel timers;
  private ConnectionPool pool;

  @BeforeMethod
  public void create() {
    opening.clear();
    timers = new EmbeddedChannel();
    timers.freezeTime();
    pool = new ConnectionPool(this::connect, timers.eventLoop(), MAX_CONNECTIONS);
  }

  private ChannelFuture connect() {
    Channel channel = new EmbeddedChannel();
    DefaultChannelPromise promise =
        new DefaultChannelPromise(channel, ImmediateEventExecutor.INSTANCE);
    opening.add(promise);
    return promise;
  }

  private void openAll() {
    for (int i = 0; i < opening.size(); i++) {
      opening.get(i).trySuccess();
    }
  }

  @Test
  public void fewConnectionsAreBeingOpenedAtOnce() {
    acquire(100);
    assertThat(opening).hasSize(ConnectionPool.MAX_CONNECTING);
  }

  @Test
  public void connectionsToAnAddressAreBounded() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(100);
    openAll();
    assertThat(opening).hasSize(MAX_CONNECTIONS);
    assertThat(acquired.stream().filter(CompletableFuture::isDone)).hasSize(MAX_CONNECTIONS);
  }

  @Test
  public void failedConnectFailsOneRequestAndTriesForTheNext() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(5);
    opening.get(0).setFailure(new IllegalStateException("refused"));
    assertThat(acquired.get(0)).isCompletedExceptionally();
    assertThat(acquired.get(1)).isNotDone();
    assertThat(opening).hasSize(5);
  }

  @Test
  public void waitEndsWithTheRequestsTime() {
    CompletableFuture<PooledConnection> acquired = acquire(1).get(0);
    timers.advanceTimeBy(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    timers.runScheduledPendingTasks();
    assertThat(ResultCodeException.codeOf(catchThrowable(acquired::join)))
        .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE);
  }

  @Test
  public void timeoutClosesIdleConnectionsThatHaveNotAnsweredSince() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(3);
    openAll();
    PooledConnection old = acquired.get(0).join();
    PooledConnection silent = acquired.get(1).join();
    PooledConnection alive = acquired.get(2).join();
    pool.release(old);
    pool.release(silent);
    silent = pool.acquire(TIMEOUT_MS).join();
    pool.release(alive);
    pool.discard(silent, true);
    assertThat(old.channel().isActive()).isFalse();
    assertThat(silent.channel().isActive()).isFalse();
    assertThat(alive.channel().isActive()).isTrue();
  }

  @Test
  public void failureOtherThanATimeoutClosesOneConnection() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(2);
    openAll();
    PooledConnection idle = acquired.get(0).join();
    pool.release(idle);
    pool.discard(acquired.get(1).join(), false);
    assertThat(idle.channel().isActive()).isTrue();
  }

  @Test
  public void connectionThatClosedWhileIdleIsNotHandedOut() {
    PooledConnection first = open();
    pool.release(first);
    first.channel().close();
    PooledConnection second = open();
    assertThat(second).isNotSameAs(first);
    assertThat(opening).hasSize(2);
  }

  private PooledConnection open() {
    CompletableFuture<PooledConnection> acquired = acquire(1).get(0);
    openAll();
    return acquired.join();
  }

  private List<CompletableFuture<PooledConnection>> acquire(int count) {
    List<CompletableFuture<PooledConnection>> acquired = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      acquired.add(pool.acquire(TIMEOUT_MS));
    }
    return acquired;
  }
}
