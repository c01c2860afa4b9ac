package org.foxtailford.daemon.peer;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.coldstart.GateExchange;
import org.foxtailford.daemon.control.ConfigurationExchange;
import org.foxtailford.daemon.idempotency.RequestRecords;
import org.foxtailford.daemon.load.LoadReporting;
import org.foxtailford.daemon.request.RequestClassifier;
import org.foxtailford.daemon.request.RequestPath;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerMessageHandler;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/**
 * Passes what other entry VMs send to the part that it is for: state to the control executor,
 * claims and relayed requests at once. Thread-safe.
 */
public final class PeerDispatcher implements PeerMessageHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigurationExchange configurations;
  private final OwnerSpread owners;
  private final HeartbeatExchange heartbeats;
  private final LoadReporting loadReports;
  private final GateExchange gates;
  private final RequestRecords records;
  private final PoisonTracker poison;
  private final RequestPath path;
  private final RequestClassifier classifier;
  private final Executor control;

  public PeerDispatcher(
      ConfigurationExchange configurations,
      OwnerSpread owners,
      HeartbeatExchange heartbeats,
      LoadReporting loadReports,
      GateExchange gates,
      RequestRecords records,
      PoisonTracker poison,
      RequestPath path,
      RequestClassifier classifier,
      Executor control) {
    this.configurations = Assert.notNull(configurations, "configurations");
    this.owners = Assert.notNull(owners, "owners");
    this.heartbeats = Assert.notNull(heartbeats, "heartbeats");
    this.loadReports = Assert.notNull(loadReports, "loadReports");
    this.gates = Assert.notNull(gates, "gates");
    this.records = Assert.notNull(records, "records");
    this.poison = Assert.notNull(poison, "poison");
    this.path = Assert.notNull(path, "path");
    this.classifier = Assert.notNull(classifier, "classifier");
    this.control = Assert.notNull(control, "control");
  }

  @Override
  public void onMessage(PeerIdentity sender, PeerFrame frame) {
    control.execute(
        () -> {
          try {
            dispatch(sender, frame);
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("message of %s failed", sender.vm());
          }
        });
  }

  private void dispatch(PeerIdentity sender, PeerFrame frame) {
    if (configurations.onFrame(sender.vm(), frame)
        || owners.onFrame(frame)
        || gates.onFrame(sender, frame)) {
      return;
    }
    if (loadReports.onFrame(sender, frame)) {
      return;
    }
    if (frame.hasHeartbeat()) {
      heartbeats.onHeartbeat(sender, frame.getHeartbeat());
    } else if (frame.hasMembership()) {
      heartbeats.onMembership(frame.getMembership());
    } else if (frame.hasPoisonReport()) {
      poison.receive(frame.getPoisonReport());
    }
  }

  @Override
  public void onClaimEnd(PeerIdentity sender, ClaimEnd end) {
    records.holder().end(end);
  }

  @Override
  public ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request) {
    return records.holder().claim(request);
  }

  @Override
  public HandOverPage onHandOver(PeerIdentity sender, HandOverRequest request) {
    return records.holder().handOver(request);
  }

  @Override
  public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
    return path.serveRelayed(request, classifier);
  }
}
