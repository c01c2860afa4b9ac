package org.foxtailford.testkit.experiment;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.Endpoint;

/** The operators of an experiment: blocking calls of the entry VMs' operators' interface. */
final class OperatorClient {

  private static final String CONFIGURATION = "/v1/configuration";
  private static final int TIMEOUT_MS = 5000;
  private static final int OK = 200;

  private final HttpClient client;
  private final List<Endpoint> entryVms;

  OperatorClient(HttpClient client, List<Endpoint> entryVms) {
    this.client = Assert.notNull(client, "client");
    this.entryVms = List.copyOf(Assert.notNull(entryVms, "entryVms"));
  }

  /** Replaces the configuration through the first entry VM. */
  void apply(ConfigurationDocument document) {
    HttpAnswer current = get(entryVms.get(0), CONFIGURATION);
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set(HttpHeaderNames.IF_MATCH, current.headers().get(HttpHeaderNames.ETAG, "\"0\""));
    HttpExchange put =
        new HttpExchange(
            HttpMethod.PUT,
            CONFIGURATION,
            headers,
            toJson(document).getBytes(StandardCharsets.UTF_8));
    HttpAnswer answer = client.send(entryVms.get(0), put, TIMEOUT_MS).join();
    if (answer.status() != OK) {
      throw new IllegalStateException("the configuration was refused: " + answer.bodyText());
    }
  }

  private static String toJson(ConfigurationDocument document) {
    try {
      return JsonFormat.printer().print(document);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Tells whether every entry VM reports ready. */
  boolean allReady() {
    return entryVms.stream().allMatch(entryVm -> get(entryVm, "/ready").status() == OK);
  }

  /** Reads the counters of retries of every entry VM. */
  RetryCounts retries() {
    return RetryCounts.of(
        entryVms.stream().map(entryVm -> get(entryVm, "/metrics").bodyText()).toList());
  }

  private HttpAnswer get(Endpoint entryVm, String path) {
    HttpExchange exchange =
        new HttpExchange(HttpMethod.GET, path, new DefaultHttpHeaders(), new byte[0]);
    return client.send(entryVm, exchange, TIMEOUT_MS).join();
  }
}
