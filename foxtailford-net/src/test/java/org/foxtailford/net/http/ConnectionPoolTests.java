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

  private final List<DefaultChannelPromise> connectPromises = new ArrayList<>();
  private EmbeddedChannel timers;
  private ConnectionPool pool;

  @BeforeMethod
  public void setUp() {
    connectPromises.clear();
    timers = new EmbeddedChannel();
    timers.freezeTime();
    pool = new ConnectionPool(this::connect, timers.eventLoop(), MAX_CONNECTIONS);
  }

  private ChannelFuture connect() {
    Channel channel = new EmbeddedChannel();
    DefaultChannelPromise promise =
        new DefaultChannelPromise(channel, ImmediateEventExecutor.INSTANCE);
    connectPromises.add(promise);
    return promise;
  }

  private void completeConnects() {
    for (int i = 0; i < connectPromises.size(); i++) {
      connectPromises.get(i).trySuccess();
    }
  }

  @Test
  public void concurrentConnectsAreBounded() {
    acquire(100);
    assertThat(connectPromises).hasSize(ConnectionPool.MAX_CONNECTING);
  }

  @Test
  public void connectionsToAnAddressAreBounded() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(100);
    completeConnects();
    assertThat(connectPromises).hasSize(MAX_CONNECTIONS);
    assertThat(acquired.stream().filter(CompletableFuture::isDone)).hasSize(MAX_CONNECTIONS);
  }

  @Test
  public void failedConnectFailsOneRequestAndConnectsForTheNext() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(5);
    connectPromises.get(0).setFailure(new IllegalStateException("refused"));
    assertThat(acquired.get(0)).isCompletedExceptionally();
    assertThat(acquired.get(1)).isNotDone();
    assertThat(connectPromises).hasSize(5);
  }

  @Test
  public void acquireFailsAfterTheTimeoutOfTheRequest() {
    CompletableFuture<PooledConnection> acquired = acquire(1).get(0);
    timers.advanceTimeBy(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    timers.runScheduledPendingTasks();
    assertThat(ResultCodeException.codeOf(catchThrowable(acquired::join)))
        .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE);
  }

  @Test
  public void timeoutClosesIdleConnectionsWithoutAnAnswerSinceTheRequest() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(3);
    completeConnects();
    PooledConnection answeredEarlier = acquired.get(0).join();
    PooledConnection timedOut = acquired.get(1).join();
    PooledConnection answeredLater = acquired.get(2).join();
    pool.release(answeredEarlier);
    pool.release(timedOut);
    timedOut = pool.acquire(TIMEOUT_MS).join();
    pool.release(answeredLater);
    pool.discard(timedOut, true);
    assertThat(answeredEarlier.channel().isActive()).isFalse();
    assertThat(timedOut.channel().isActive()).isFalse();
    assertThat(answeredLater.channel().isActive()).isTrue();
  }

  @Test
  public void failureOtherThanATimeoutClosesOnlyItsConnection() {
    List<CompletableFuture<PooledConnection>> acquired = acquire(2);
    completeConnects();
    PooledConnection idle = acquired.get(0).join();
    pool.release(idle);
    pool.discard(acquired.get(1).join(), false);
    assertThat(idle.channel().isActive()).isTrue();
  }

  @Test
  public void connectionClosedWhileIdleIsNotReused() {
    PooledConnection first = open();
    pool.release(first);
    first.channel().close();
    PooledConnection second = open();
    assertThat(second).isNotSameAs(first);
    assertThat(connectPromises).hasSize(2);
  }

  private PooledConnection open() {
    CompletableFuture<PooledConnection> acquired = acquire(1).get(0);
    completeConnects();
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
