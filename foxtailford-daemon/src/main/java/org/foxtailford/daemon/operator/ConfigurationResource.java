package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationChange;
import org.foxtailford.core.configuration.ConfigurationChecker;
import org.foxtailford.core.configuration.ConfigurationReport;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationVersion;

/**
 * Reads and replaces the stored configuration. {@code PUT} takes the expected version in {@code
 * If-Match}; with the parameter {@code check} it only validates the document. Thread-safe.
 */
final class ConfigurationResource implements OperatorResource {

  /** Header with the id of a change, in hexadecimal; each retry carries the same id. */
  static final String WRITE_ID = "Foxtail-Write-Id";

  /** Header that marks a retry of a change whose answer was lost; {@code true} if it is one. */
  static final String RESENT = "Foxtail-Resent";

  /** Header with the time of the change by the client's clock, in milliseconds since the epoch. */
  static final String CHANGED_AT_MS = "Foxtail-Changed-At-Ms";

  /** Header with the operator's reason for the change. */
  static final String NOTE = "Foxtail-Note";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final OperatorContext context;
  private final ConfigurationChecker checker = new ConfigurationChecker();

  ConfigurationResource(OperatorContext context) {
    this.context = Assert.notNull(context, "context");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(OperatorRequest request) {
    if (!request.isPut()) {
      return context.configurations().read().thenApply(ConfigurationResource::toAnswer);
    }
    ConfigurationReport report = checker.check(request.body(), context.activeConfiguration().vms());
    ConfigurationDocument document = report.requireAcceptable(request.isSet("force"));
    if (request.isSet("check")) {
      return JsonAnswers.okNow(putFindings(JsonAnswers.object(), report));
    }
    ConfigurationChange change = toChange(request);
    return context
        .configurations()
        .apply(document, expectedVersion(request), change)
        .thenApply(newVersion -> acceptedAnswer(newVersion, report, request));
  }

  private static HttpAnswer toAnswer(ConfigurationVersion version) {
    ConfigurationDocument document = version.getRecord().getDocument();
    HttpAnswer answer = HttpAnswer.json(200, JsonAnswers.pretty(JsonAnswers.document(document)));
    answer.headers().set(HttpHeaderNames.ETAG, '"' + Long.toString(version.getVersion()) + '"');
    return answer;
  }

  private static long expectedVersion(OperatorRequest request) {
    String tag = request.header(HttpHeaderNames.IF_MATCH.toString()).orElse("\"0\"");
    if (!tag.matches("\"[0-9]{1,18}\"")) {
      throw new ResultCodeException(
          ResultCode.INVALID_HEADER, "If-Match must be a quoted version, not " + tag);
    }
    return Long.parseLong(tag.substring(1, tag.length() - 1));
  }

  private ConfigurationChange toChange(OperatorRequest request) {
    long writeId =
        parseNumber(request, WRITE_ID, 16).orElseGet(() -> context.writeIds().getAsLong());
    return new ConfigurationChange(
        writeId == 0 ? 1 : writeId,
        request.header(RESENT).filter("true"::equals).isPresent(),
        request.operatorName(),
        parseNumber(request, CHANGED_AT_MS, 10).orElse(0L),
        request.header(NOTE).orElse(""));
  }

  private static Optional<Long> parseNumber(OperatorRequest request, String header, int radix) {
    try {
      return request.header(header).map(text -> Long.parseUnsignedLong(text, radix));
    } catch (NumberFormatException e) {
      throw new ResultCodeException(ResultCode.INVALID_HEADER, header + " must be a number", e);
    }
  }

  private HttpAnswer acceptedAnswer(
      ConfigurationVersion version, ConfigurationReport report, OperatorRequest request) {
    logger.atInfo().log(
        "%s",
        JsonAnswers.version(version)
            .put("event", "configuration-accepted")
            .put("forced", request.isSet("force")));
    context.onAccepted().run();
    return JsonAnswers.ok(putFindings(JsonAnswers.version(version), report));
  }

  private static ObjectNode putFindings(ObjectNode node, ConfigurationReport report) {
    node.set("findings", JsonAnswers.list(report.findings(), JsonAnswers::finding));
    return node;
  }
}
