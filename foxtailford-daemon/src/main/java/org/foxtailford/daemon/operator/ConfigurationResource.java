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

/** The stored configuration: {@code GET}, {@code PUT} with a precondition, and check only. */
final class ConfigurationResource implements OperatorResource {

  /** Id of a change, in hexadecimal; the same on each resend. */
  static final String WRITE_ID = "Foxtail-Write-Id";

  /** Whether the change was sent before and its answer was lost. */
  static final String RESENT = "Foxtail-Resent";

  /** Time of the change by the client, in milliseconds since 1970. */
  static final String CHANGED_AT_MS = "Foxtail-Changed-At-Ms";

  /** Reason for the change. */
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
    ConfigurationReport report = checker.check(request.body(), context.inForce().vms());
    ConfigurationDocument document = report.requireAcceptable(request.isSet("force"));
    if (request.isSet("check")) {
      return JsonAnswers.okNow(withFindings(JsonAnswers.object(), report));
    }
    ConfigurationChange change = changeOf(request);
    return context
        .configurations()
        .apply(document, expectedVersion(request), change)
        .thenApply(accepted -> accepted(accepted, report, request));
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

  private ConfigurationChange changeOf(OperatorRequest request) {
    long writeId = number(request, WRITE_ID, 16).orElseGet(() -> context.writeIds().getAsLong());
    return new ConfigurationChange(
        writeId == 0 ? 1 : writeId,
        request.header(RESENT).filter("true"::equals).isPresent(),
        request.who(),
        number(request, CHANGED_AT_MS, 10).orElse(0L),
        request.header(NOTE).orElse(""));
  }

  private static Optional<Long> number(OperatorRequest request, String header, int radix) {
    try {
      return request.header(header).map(text -> Long.parseUnsignedLong(text, radix));
    } catch (NumberFormatException e) {
      throw new ResultCodeException(ResultCode.INVALID_HEADER, header + " must be a number", e);
    }
  }

  private HttpAnswer accepted(
      ConfigurationVersion version, ConfigurationReport report, OperatorRequest request) {
    logger.atInfo().log(
        "%s",
        JsonAnswers.version(version)
            .put("event", "configuration-accepted")
            .put("forced", request.isSet("force")));
    context.onAccepted().run();
    return JsonAnswers.ok(withFindings(JsonAnswers.version(version), report));
  }

  private static ObjectNode withFindings(ObjectNode node, ConfigurationReport report) {
    node.set("findings", JsonAnswers.list(report.findings(), JsonAnswers::finding));
    return node;
  }
}
