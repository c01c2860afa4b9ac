package org.foxtailford.daemon.request;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Locale;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;

/** Builds answers that the router itself gives. */
public final class Answers {

  private Answers() {}

  /** Returns the answer for a result other than an upstream's answer. */
  public static HttpAnswer of(ResultCode code, String message) {
    String body =
        JsonNodeFactory.instance
            .objectNode()
            .put("code", code.number())
            .put("name", code.name())
            .put("effect", headerValue(code.effect()))
            .put("message", message)
            .toString();
    return marked(HttpAnswer.json(code.httpStatus(), body + "\n"), code);
  }

  /** Adds the header fields that tell the result. */
  public static HttpAnswer marked(HttpAnswer answer, ResultCode code) {
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
