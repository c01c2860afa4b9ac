package org.foxtailford.daemon.idempotency;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.HeaderField;
import org.foxtailford.schema.KeptAnswer;

/** Converts between answers and what record holders keep of them. */
final class KeptAnswers {

  private KeptAnswers() {}

  static KeptAnswer of(HttpAnswer answer) {
    KeptAnswer.Builder kept =
        KeptAnswer.newBuilder()
            .setStatus(answer.status())
            .setBody(ByteString.copyFrom(answer.body()));
    answer
        .headers()
        .forEach(
            h ->
                kept.addHeaders(
                    HeaderField.newBuilder().setName(h.getKey()).setValue(h.getValue())));
    return kept.build();
  }

  static HttpAnswer toAnswer(KeptAnswer kept) {
    HttpHeaders headers = new DefaultHttpHeaders();
    kept.getHeadersList().forEach(h -> headers.add(h.getName(), h.getValue()));
    headers.set(FoxtailHeaders.REPLAYED, "true");
    return new HttpAnswer(kept.getStatus(), headers, kept.getBody().toByteArray());
  }
}
