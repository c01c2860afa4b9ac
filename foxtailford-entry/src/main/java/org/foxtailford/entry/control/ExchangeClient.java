package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.StaleConnectionException;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.entry.ExchangeReply;
import org.foxtailford.schema.entry.ExchangeRequest;

/**
 * Makes exchange calls to coordinators and answers those of other entry VMs. The content comes from
 * the parts. A call of this VM to itself uses no network. Confined to the event loop.
 */
public final class ExchangeClient {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Path of exchange calls at the peers' port. */
  public static final String PATH = "/foxtailford/exchange";

  /**
   * Timeout of a call, in milliseconds. A VM whose share of a processor is used up does not run for
   * the rest of a tenth of a second, and may wait for that twice.
   */
  static final long TIMEOUT_MS = 300;

  /**
   * Calls in a row without an answer after which a coordinator is passed over. The next one has no
   * state, so that passing over one that is only late costs more than waiting for it.
   */
  private static final int MAX_UNANSWERED = 2;

  /** Time after a failed call for which a coordinator is passed over, in milliseconds. */
  static final long BACKOFF_MS = 1000;

  private static final int OK = 200;

  private final EntryIdentity self;
  private final HttpClient client;
  private final List<ExchangePart> parts;
  private final MillisClock clock;
  private final Executor loop;
  private final Map<String, Long> failedUntilMs = new HashMap<>();
  private final Map<String, Integer> unanswered = new HashMap<>();
  private final Set<String> inFlight = new HashSet<>();
  private long calls;

  /**
   * Creates a client.
   *
   * @param parts contents of the calls; the order is that in which they are added and applied
   */
  public ExchangeClient(
      EntryIdentity self,
      HttpClient client,
      List<ExchangePart> parts,
      MillisClock clock,
      Executor loop) {
    this.self = Assert.notNull(self, "self");
    this.client = Assert.notNull(client, "client");
    this.parts = List.copyOf(parts);
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  /** Returns the first of some coordinators that has not failed to answer lately. */
  public Optional<ExchangePeer> firstUsable(List<ExchangePeer> inOrder) {
    long nowMs = clock.nowMs();
    failedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    return inOrder.stream().filter(peer -> !failedUntilMs.containsKey(peer.node())).findFirst();
  }

  /** Returns whether a call to a coordinator awaits its reply. */
  public boolean isInFlight(ExchangePeer target) {
    return inFlight.contains(target.node());
  }

  /** Returns the number of calls over the network so far. */
  public long calls() {
    return calls;
  }

  /**
   * Calls a coordinator and passes the reply, or the failure, to the parts. Does nothing while a
   * call to it awaits its reply.
   */
  public void call(ExchangePeer target) {
    if (isInFlight(target)) {
      return;
    }
    ExchangeRequest.Builder builder =
        ExchangeRequest.newBuilder()
            .setNode(self.node())
            .setLife(self.incarnation())
            .setDataCentre(self.dataCentre())
            .setCoordinator(!target.dataCentre().equals(self.dataCentre()));
    parts.forEach(part -> part.addTo(builder, target));
    ExchangeRequest request = builder.build();
    long sentMs = clock.nowMs();
    if (target.node().equals(self.node())) {
      ExchangeReply reply = answer(request);
      parts.forEach(part -> part.onReply(request, reply, target, sentMs));
      return;
    }
    inFlight.add(target.node());
    calls++;
    send(target, request)
        .whenCompleteAsync(
            (reply, failure) -> {
              inFlight.remove(target.node());
              if (failure == null) {
                unanswered.remove(target.node());
                parts.forEach(part -> part.onReply(request, reply, target, sentMs));
              } else {
                onFailure(target, request, failure);
              }
            },
            loop);
  }

  private CompletableFuture<ExchangeReply> send(ExchangePeer target, ExchangeRequest request) {
    Endpoint endpoint =
        Endpoint.newBuilder()
            .setHost(target.address().host())
            .setPort(target.address().port())
            .build();
    HttpExchange exchange =
        new HttpExchange(HttpMethod.POST, PATH, new DefaultHttpHeaders(), request.toByteArray());
    return client
        .send(endpoint, exchange, TIMEOUT_MS)
        .exceptionallyCompose(failure -> resendIfStale(endpoint, exchange, failure))
        .thenApply(ExchangeClient::parse);
  }

  /** Sends once more on another connection if the coordinator had closed an idle one. */
  private CompletableFuture<HttpAnswer> resendIfStale(
      Endpoint endpoint, HttpExchange exchange, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StaleConnectionException
        ? client.send(endpoint, exchange, TIMEOUT_MS)
        : CompletableFuture.failedFuture(failure);
  }

  private static ExchangeReply parse(HttpAnswer answer) {
    if (answer.status() != OK) {
      throw new CompletionException(
          new IllegalStateException("peer answered with status " + answer.status()));
    }
    try {
      return ExchangeReply.parseFrom(answer.body());
    } catch (InvalidProtocolBufferException e) {
      throw new CompletionException(e);
    }
  }

  private void onFailure(ExchangePeer target, ExchangeRequest request, Throwable failure) {
    int failures = unanswered.merge(target.node(), 1, Integer::sum);
    if (failures >= MAX_UNANSWERED || isRefused(failure)) {
      unanswered.remove(target.node());
      failedUntilMs.put(target.node(), clock.nowMs() + BACKOFF_MS);
    }
    logger
        .atInfo()
        .atMostEvery(1, TimeUnit.SECONDS)
        .with(EventFields.NODE, target.node())
        .with(EventFields.DATA_CENTRE, target.dataCentre())
        .with(EventFields.REASON, String.valueOf(failure))
        .log("coordinator did not answer");
    parts.forEach(part -> part.onFailure(request, target));
  }

  /** Returns whether nobody listens at the coordinator's address, so that it has ended. */
  private static boolean isRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return String.valueOf(cause.getMessage()).contains("refused");
      }
    }
    return false;
  }

  /** Answers a request of an entry VM. */
  public ExchangeReply answer(ExchangeRequest request) {
    ExchangeReply.Builder reply =
        ExchangeReply.newBuilder().setNode(self.node()).setLife(self.incarnation());
    parts.forEach(part -> part.answer(request, reply));
    return reply.build();
  }
}
