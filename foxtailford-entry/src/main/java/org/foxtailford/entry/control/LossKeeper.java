package org.foxtailford.entry.control;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.PoisonReport;
import org.foxtailford.schema.entry.UpstreamLoss;

/**
 * Keeps what is known of losses of upstreams in step: among the VMs by {@link LossExchange}, in the
 * store by {@link LossTable}, and with the upstreams' registrations. Confined to the event loop.
 */
final class LossKeeper {

  private final LossExchange exchange;
  private final LossTable table;
  private final EntryRoutingState state;
  private final Consumer<List<UpstreamLoss>> push;
  private final MillisClock clock;
  private long nextTakeBackMs;

  /**
   * Creates a keeper.
   *
   * @param push tells the other VMs losses that were unknown here
   */
  LossKeeper(
      LossExchange exchange,
      LossTable table,
      EntryRoutingState state,
      Consumer<List<UpstreamLoss>> push,
      MillisClock clock) {
    this.exchange = Assert.notNull(exchange, "exchange");
    this.table = Assert.notNull(table, "table");
    this.state = Assert.notNull(state, "state");
    this.push = Assert.notNull(push, "push");
    this.clock = Assert.notNull(clock, "clock");
    state.setLossListener(loss -> addTold(List.of(table.toMessage(loss))));
  }

  /**
   * Adds losses that this VM has seen.
   *
   * @return whether one of them was unknown
   */
  boolean addOwn(PoisonReport report) {
    List<UpstreamLoss> added = exchange.addOwn(report);
    push.accept(added);
    table.add(added);
    return !added.isEmpty();
  }

  /** Adds losses that another VM or the store tells. */
  void addTold(Collection<UpstreamLoss> losses) {
    push.accept(exchange.addTold(losses));
  }

  /**
   * Performs what is due.
   *
   * @param leads whether this VM is the leader
   * @param upstreamsKnown whether the copy of the upstreams' registrations is up to date
   */
  void tick(boolean leads, boolean upstreamsKnown) {
    table.writeAsNeeded();
    if (leads) {
      table.removeExpired(state.mirror(SystemTables.LOSSES));
    }
    long nowMs = clock.nowMs();
    if (upstreamsKnown && nowMs >= nextTakeBackMs) {
      nextTakeBackMs = nowMs + ControlTiming.LOSS_TAKE_BACK_MS;
      exchange.takeBackAsNeeded(state::isProcessRegistered);
    }
  }
}
