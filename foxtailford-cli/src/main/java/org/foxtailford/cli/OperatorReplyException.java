package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/** A refusal by the operators' interface. */
final class OperatorReplyException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final transient JsonNode body;

  OperatorReplyException(ResultCode code, JsonNode body) {
    super(code, body.path("message").asText("no message"));
    this.body = body;
  }

  JsonNode body() {
    return body;
  }
}
