package org.foxtailford.entry.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;

/** Sends reports to other entry VMs over HTTP. */
final class PeerClient {

  static final String PATH = "/foxtailford/peer";

  private static final int OK = 200;

  private final HttpClient client;

  PeerClient(HttpClient client) {
    this.client = Assert.notNull(client, "client");
  }

  CompletableFuture<PeerReply> send(UpstreamAddress peer, PeerReport report, long timeoutMs) {
    Endpoint endpoint = Endpoint.newBuilder().setHost(peer.host()).setPort(peer.port()).build();
    HttpExchange exchange =
        new HttpExchange(HttpMethod.POST, PATH, new DefaultHttpHeaders(), report.toByteArray());
    return client
        .send(endpoint, exchange, timeoutMs)
        .thenApply(
            answer -> {
              if (answer.status() != OK) {
                throw new CompletionException(
                    new IllegalStateException("peer answered with status " + answer.status()));
              }
              try {
                return PeerReply.parseFrom(answer.body());
              } catch (InvalidProtocolBufferException e) {
                throw new CompletionException(e);
              }
            });
  }

  /** Returns whether a call failed because no process listens at the peer's address. */
  static boolean isRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return String.valueOf(cause.getMessage()).contains("refused");
      }
    }
    return false;
  }
}
