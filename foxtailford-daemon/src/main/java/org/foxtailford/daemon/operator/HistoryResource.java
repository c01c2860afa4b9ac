package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.ConfigurationVersion;

/**
 * Lists the accepted configuration versions, newest first; {@code /v1/history/VERSION} returns one
 * version with its document. Thread-safe.
 */
final class HistoryResource implements OperatorResource {

  private final OperatorContext context;

  HistoryResource(OperatorContext context) {
    this.context = Assert.notNull(context, "context");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(OperatorRequest request) {
    List<String> remainingSegments = request.segmentsAfter(2);
    return context
        .configurations()
        .readHistory()
        .thenApply(
            versions ->
                remainingSegments.isEmpty()
                    ? listVersions(versions)
                    : describeVersion(versions, remainingSegments.get(0)));
  }

  private static HttpAnswer listVersions(List<ConfigurationVersion> versions) {
    ObjectNode node = JsonAnswers.object();
    node.set("versions", JsonAnswers.list(versions, JsonAnswers::version));
    return JsonAnswers.ok(node);
  }

  private static HttpAnswer describeVersion(List<ConfigurationVersion> versions, String number) {
    ConfigurationVersion requested =
        versions.stream()
            .filter(version -> Long.toString(version.getVersion()).equals(number))
            .findFirst()
            .orElseThrow(
                () ->
                    new ResultCodeException(
                        ResultCode.UNKNOWN_RESOURCE, "the history has no version " + number));
    ObjectNode node = JsonAnswers.version(requested);
    node.set("document", JsonAnswers.document(requested.getRecord().getDocument()));
    return JsonAnswers.ok(node);
  }
}
