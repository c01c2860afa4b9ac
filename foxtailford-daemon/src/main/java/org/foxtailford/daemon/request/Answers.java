package org.foxtailford.daemon.request;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Locale;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;

/** Creates the answers that the router generates itself and sets result header fields. */
public final class Answers {

  private Answers() {}

  /**
   * Returns an answer whose JSON body and header fields describe a result.
   *
   * @param code result; also determines the HTTP status
   * @param message explanation for the caller
   */
  public static HttpAnswer of(ResultCode code, String message) {
    String body =
        JsonNodeFactory.instance
            .objectNode()
            .put("code", code.number())
            .put("name", code.name())
            .put("effect", headerValue(code.effect()))
            .put("message", message)
            .toString();
    return withResultHeaders(HttpAnswer.json(code.httpStatus(), body + "\n"), code);
  }

  /** Sets the header fields that carry the result code and its effect, and returns the answer. */
  public static HttpAnswer withResultHeaders(HttpAnswer answer, ResultCode code) {
    answer
        .headers()
        .set(FoxtailHeaders.CODE, code.number())
        .set(FoxtailHeaders.EFFECT, headerValue(code.effect()));
    return answer;
  }

  private static String headerValue(Effect effect) {
    return effect.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
