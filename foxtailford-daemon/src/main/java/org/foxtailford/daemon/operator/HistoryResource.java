package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.ConfigurationVersion;

/** Accepted versions, newest first; {@code /v1/history/VERSION} gives a document. */
final class HistoryResource implements OperatorResource {

  private final OperatorContext context;

  HistoryResource(OperatorContext context) {
    this.context = Assert.notNull(context, "context");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(OperatorRequest request) {
    List<String> rest = request.after(2);
    return context
        .configurations()
        .readHistory()
        .thenApply(versions -> rest.isEmpty() ? all(versions) : one(versions, rest.get(0)));
  }

  private static HttpAnswer all(List<ConfigurationVersion> versions) {
    ObjectNode node = JsonAnswers.object();
    node.set("versions", JsonAnswers.list(versions, JsonAnswers::version));
    return JsonAnswers.ok(node);
  }

  private static HttpAnswer one(List<ConfigurationVersion> versions, String number) {
    ConfigurationVersion found =
        versions.stream()
            .filter(version -> Long.toString(version.getVersion()).equals(number))
            .findFirst()
            .orElseThrow(
                () ->
                    new ResultCodeException(
                        ResultCode.UNKNOWN_RESOURCE, "the history has no version " + number));
    ObjectNode node = JsonAnswers.version(found);
    node.set("document", JsonAnswers.document(found.getRecord().getDocument()));
    return JsonAnswers.ok(node);
  }
}
