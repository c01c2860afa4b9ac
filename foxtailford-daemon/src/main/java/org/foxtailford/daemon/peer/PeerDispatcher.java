package org.foxtailford.daemon.peer;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.idempotency.RequestRecords;
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
 * Dispatches messages of other entry VMs: state messages to their handlers on the control executor,
 * claims, handovers and relayed requests directly on the calling thread. Thread-safe.
 */
public final class PeerDispatcher implements PeerMessageHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final List<PeerFrameHandler> handlers;
  private final RequestRecords records;
  private final RequestPath path;
  private final RequestClassifier classifier;
  private final Executor control;

  /**
   * Creates a dispatcher.
   *
   * @param handlers handlers of state messages; each message goes to the first that accepts it
   * @param records answers claims and handovers
   * @param path serves relayed requests
   * @param classifier classifies relayed requests
   * @param control executor of the handlers
   */
  public PeerDispatcher(
      List<PeerFrameHandler> handlers,
      RequestRecords records,
      RequestPath path,
      RequestClassifier classifier,
      Executor control) {
    this.handlers = List.copyOf(handlers);
    this.records = Assert.notNull(records, "records");
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
            logger.atSevere().withCause(e).log("failed to handle message from %s", sender.vm());
          }
        });
  }

  private void dispatch(PeerIdentity sender, PeerFrame frame) {
    for (PeerFrameHandler handler : handlers) {
      if (handler.onFrame(sender, frame)) {
        return;
      }
    }
  }

  @Override
  public void onClaimEnd(PeerIdentity sender, ClaimEnd end) {
    records.holder().recordEnd(end);
  }

  @Override
  public ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request) {
    return records.holder().claim(request);
  }

  @Override
  public HandOverPage onHandover(PeerIdentity sender, HandOverRequest request) {
    return records.holder().handOver(request);
  }

  @Override
  public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
    return path.serveRelayed(request, classifier);
  }
}
