package org.foxtailford.entry;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;

/** Handles reports of other entry VMs on the event loop and returns the replies. */
final class PeerHandler implements HttpExchangeHandler {

  private static final int BAD_REQUEST = 400;

  private final Function<PeerReport, PeerReply> reportHandler;
  private final Executor loop;

  PeerHandler(Function<PeerReport, PeerReply> reportHandler, Executor loop) {
    this.reportHandler = Assert.notNull(reportHandler, "reportHandler");
    this.loop = Assert.notNull(loop, "loop");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    try {
      PeerReport report = PeerReport.parseFrom(exchange.body());
      return CompletableFuture.supplyAsync(
          () ->
              new HttpAnswer(
                  200, new DefaultHttpHeaders(), reportHandler.apply(report).toByteArray()),
          loop);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.completedFuture(refuse(ResultCode.MALFORMED_REQUEST, "no report"));
    }
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return HttpAnswer.text(BAD_REQUEST, "text/plain", message);
  }
}
