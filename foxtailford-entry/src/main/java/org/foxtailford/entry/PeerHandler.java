package org.foxtailford.entry;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.control.ExchangeClient;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.schema.entry.ExchangeReply;
import org.foxtailford.schema.entry.ExchangeRequest;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;

/**
 * Handles reports and exchange calls of other entry VMs on the event loop and returns the replies.
 */
final class PeerHandler implements HttpExchangeHandler {

  private static final int BAD_REQUEST = 400;

  private final Function<PeerReport, PeerReply> reportHandler;
  private final Function<ExchangeRequest, ExchangeReply> exchangeHandler;
  private final Executor loop;

  PeerHandler(
      Function<PeerReport, PeerReply> reportHandler,
      Function<ExchangeRequest, ExchangeReply> exchangeHandler,
      Executor loop) {
    this.reportHandler = Assert.notNull(reportHandler, "reportHandler");
    this.exchangeHandler = Assert.notNull(exchangeHandler, "exchangeHandler");
    this.loop = Assert.notNull(loop, "loop");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    try {
      if (exchange.path().equals(ExchangeClient.PATH)) {
        ExchangeRequest request = ExchangeRequest.parseFrom(exchange.body());
        return answer(() -> exchangeHandler.apply(request));
      }
      PeerReport report = PeerReport.parseFrom(exchange.body());
      return answer(() -> reportHandler.apply(report));
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.completedFuture(
          refuse(ResultCode.MALFORMED_REQUEST, "malformed message"));
    }
  }

  private CompletableFuture<HttpAnswer> answer(Supplier<MessageLite> reply) {
    return CompletableFuture.supplyAsync(
        () -> new HttpAnswer(200, new DefaultHttpHeaders(), reply.get().toByteArray()), loop);
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return HttpAnswer.text(BAD_REQUEST, "text/plain", message);
  }
}
