package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.foxtailford.core.configuration.ConfigurationConflictException;
import org.foxtailford.core.configuration.ConfigurationDifference;
import org.foxtailford.core.configuration.ConfigurationFinding;
import org.foxtailford.core.configuration.InvalidConfigurationException;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.daemon.request.Answers;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationVersion;

/** Builds the JSON answers of the operators' interface. Stateless and thread-safe. */
final class JsonAnswers {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private JsonAnswers() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static HttpAnswer ok(JsonNode node) {
    return HttpAnswer.json(OK, node + "\n");
  }

  static CompletableFuture<HttpAnswer> okNow(JsonNode node) {
    return CompletableFuture.completedFuture(ok(node));
  }

  static <T> ArrayNode list(Collection<T> items, Function<T, ObjectNode> toNode) {
    ArrayNode list = MAPPER.createArrayNode();
    items.forEach(item -> list.add(toNode.apply(item)));
    return list;
  }

  static ObjectNode finding(ConfigurationFinding finding) {
    return object()
        .put("severity", finding.severity().name())
        .put("path", finding.path())
        .put("line", finding.line())
        .put("message", finding.message())
        .put("hint", finding.hint());
  }

  static ObjectNode change(ConfigurationDifference.Change change) {
    return object()
        .put("path", change.path())
        .put("before", change.before().orElse(null))
        .put("after", change.after().orElse(null));
  }

  static ObjectNode version(ConfigurationVersion version) {
    return object()
        .put("version", version.getVersion())
        .put("baseVersion", version.getRecord().getBaseVersion())
        .put("writeId", Long.toHexString(version.getRecord().getWriteId()))
        .put("who", version.getRecord().getWho())
        .put("whenMs", version.getRecord().getWhenMs())
        .put("note", version.getRecord().getNote());
  }

  static JsonNode document(ConfigurationDocument document) {
    try {
      return MAPPER.readTree(
          JsonFormat.printer().alwaysPrintFieldsWithNoPresence().print(document));
    } catch (InvalidProtocolBufferException | JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static String pretty(JsonNode node) {
    return node.toPrettyString() + "\n";
  }

  /**
   * Returns the answer to a request that failed, including the findings of an invalid configuration
   * or the difference to a conflicting one.
   */
  static HttpAnswer failed(Throwable failure) {
    ResultCode code = ResultCodeException.codeOf(failure);
    Throwable cause = failure;
    while (cause.getCause() != null && !(cause instanceof ResultCodeException)) {
      cause = cause.getCause();
    }
    ObjectNode node =
        object()
            .put("code", code.number())
            .put("name", code.name())
            .put("message", String.valueOf(cause.getMessage()));
    if (cause instanceof InvalidConfigurationException invalid) {
      node.set("findings", list(invalid.report().findings(), JsonAnswers::finding));
    }
    if (cause instanceof ConfigurationConflictException conflict) {
      node.put("expectedVersion", conflict.expectedVersion());
      node.set("current", version(conflict.current()));
      node.set("difference", list(conflict.difference().changes(), JsonAnswers::change));
    }
    return Answers.withResultHeaders(HttpAnswer.json(code.httpStatus(), node + "\n"), code);
  }
}
