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
    this(threads, PassListener.NONE);
  }

  /**
   * Creates a group with a given number of threads, each of which runs one loop.
   *
   * @param passes is told of the passes of each loop, on its thread
   */
  public ClosingEventLoopGroup(int threads, PassListener passes) {
    super(threads, (Executor) null, NioIoHandler.newFactory(), passes);
  }

  @Override
  protected IoEventLoop newChild(
      Executor executor, IoHandlerFactory ioHandlerFactory, Object... args) {
    return new ClosingEventLoop(this, executor, ioHandlerFactory, (PassListener) args[0]);
  }

  private static final class ClosingEventLoop extends SingleThreadIoEventLoop {

    private final PassListener passes;

    ClosingEventLoop(
        IoEventLoopGroup parent,
        Executor executor,
        IoHandlerFactory ioHandlerFactory,
        PassListener passes) {
      super(parent, executor, ioHandlerFactory);
      this.passes = passes;
    }

    @Override
    protected int runIo() {
      passes.onPassBegin();
      int handled = super.runIo();
      passes.onPassEnd(handled == 0);
      return handled;
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
