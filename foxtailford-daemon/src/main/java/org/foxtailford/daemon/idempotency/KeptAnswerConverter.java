package org.foxtailford.daemon.idempotency;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.HeaderField;
import org.foxtailford.schema.KeptAnswer;

/** Converts between HTTP answers and the form in which record holders store them. */
final class KeptAnswerConverter {

  private KeptAnswerConverter() {}

  static KeptAnswer toKept(HttpAnswer answer) {
    KeptAnswer.Builder kept =
        KeptAnswer.newBuilder()
            .setStatus(answer.status())
            .setBody(ByteString.copyFrom(answer.body()));
    answer
        .headers()
        .forEach(
            header ->
                kept.addHeaders(
                    HeaderField.newBuilder().setName(header.getKey()).setValue(header.getValue())));
    return kept.build();
  }

  /** Returns the stored answer, marked as replayed. */
  static HttpAnswer toAnswer(KeptAnswer kept) {
    HttpHeaders headers = new DefaultHttpHeaders();
    kept.getHeadersList().forEach(header -> headers.add(header.getName(), header.getValue()));
    headers.set(FoxtailHeaders.REPLAYED, "true");
    return new HttpAnswer(kept.getStatus(), headers, kept.getBody().toByteArray());
  }
}
