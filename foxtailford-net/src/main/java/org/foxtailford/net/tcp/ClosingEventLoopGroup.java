package org.foxtailford.net.tcp;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Executor;

/**
 * Event loops that close their channels before they end, whenever they are shut down.
 *
 * <p>A loop of Netty that is shut down while it runs tasks may end without that: connections then
 * stay open for the peer, and what was received on them is not released.
 */
public final class ClosingEventLoopGroup extends MultiThreadIoEventLoopGroup {

  /** Creates a group with a given number of threads, each of which runs one loop. */
  public ClosingEventLoopGroup(int threads) {
    super(threads, NioIoHandler.newFactory());
  }

  @Override
  protected IoEventLoop newChild(
      Executor executor, IoHandlerFactory ioHandlerFactory, Object... args) {
    return new ClosingEventLoop(this, executor, ioHandlerFactory);
  }

  private static final class ClosingEventLoop extends SingleThreadIoEventLoop {

    ClosingEventLoop(
        IoEventLoopGroup parent, Executor executor, IoHandlerFactory ioHandlerFactory) {
      super(parent, executor, ioHandlerFactory);
    }

    @Override
    protected boolean confirmShutdown() {
      boolean confirmed = super.confirmShutdown();
      if (confirmed) {
        ioHandler().prepareToDestroy();
        runAllTasks(); // handlers are told of the close by a task
      }
      return confirmed;
    }
  }
}
