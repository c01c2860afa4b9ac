package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.RelayPeerChooser;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamPath;
import org.foxtailford.core.upstream.UpstreamReach;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.UpstreamPool;

/**
 * Chooses other entry VMs that serve requests for which this VM reaches no upstream. Confined to
 * the event loop.
 */
public final class RequestRelay {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final UpstreamPath path;
  private final UpstreamReach reach;
  private final RoutingView view;
  private final Function<UpstreamAddress, UpstreamPool> poolFactory;
  private final MillisClock clock;
  private final RelayPeerChooser chooser;
  private final String dataCentre;
  private final Map<String, PeerHandle> handles = new HashMap<>();

  /**
   * Creates a relay without connections.
   *
   * @param path whether this VM reaches upstreams
   * @param reach which upstreams it reaches
   * @param poolFactory creates the connection pool of an address
   * @param random source of numbers from 0 to 1, for the choice among equals
   * @param dataCentre data centre of this VM
   */
  public RequestRelay(
      UpstreamPath path,
      UpstreamReach reach,
      RoutingView view,
      Function<UpstreamAddress, UpstreamPool> poolFactory,
      MillisClock clock,
      DoubleSupplier random,
      String dataCentre) {
    this.path = Assert.notNull(path, "path");
    this.reach = Assert.notNull(reach, "reach");
    this.view = Assert.notNull(view, "view");
    this.poolFactory = Assert.notNull(poolFactory, "poolFactory");
    this.clock = Assert.notNull(clock, "clock");
    this.chooser = new RelayPeerChooser(clock, random);
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
  }

  UpstreamPath path() {
    return path;
  }

  UpstreamReach reach() {
    return reach;
  }

  /**
   * Sends a request to a peer that was not tried yet.
   *
   * @param subject what is learned from the outcome about, see {@link UpstreamReach}
   * @return whether there was one; false for a request that came from a peer
   */
  boolean tryRelay(RequestCall call, String subject) {
    Optional<PeerHandle> peer = call.isRelayed() ? Optional.empty() : choose(call);
    peer.ifPresent(
        handle -> {
          logger
              .atInfo()
              .with(EventFields.REQUEST, call.requestId())
              .with(EventFields.SERVICE, call.service().name())
              .with(EventFields.VERSION, call.configurationVersion())
              .with(EventFields.NODE, handle.peer().node())
              .with(EventFields.ATTEMPTS, (long) call.history().deliveries())
              .with(EventFields.LEFT_MS, call.terms().deadlineMs() - clock.nowMs())
              .log("request relayed");
          reach.recordRelayed(subject);
          call.relayTo(handle, subject);
        });
    return peer.isPresent();
  }

  private Optional<PeerHandle> choose(RequestCall call) {
    List<PeerHandle> untried = new ArrayList<>();
    for (EntryPeer peer : view.peers()) {
      if (!call.history().triedPeers().contains(peer.node())) {
        untried.add(handle(peer));
      }
    }
    return chooser.choose(
        untried,
        PeerHandle::fitness,
        handle -> handle.peer().dataCentre().equals(dataCentre),
        call.canRetry() && call.route().kind().isIdempotent() && !call.hasActiveAttempt());
  }

  private PeerHandle handle(EntryPeer peer) {
    PeerHandle known = handles.get(peer.node());
    if (known == null || !known.peer().equals(peer)) {
      if (known != null) {
        known.pool().close();
      }
      known = new PeerHandle(peer, poolFactory.apply(peer.callers()));
      handles.put(peer.node(), known);
    }
    return known;
  }
}
