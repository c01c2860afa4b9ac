package org.foxtailford.testkit.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.foxtailford.core.util.Assert;

/** Blocking HTTP calls of the demonstration. */
final class DemoClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /** An answer; status 0 stands for no answer. */
  record Answer(int status, String body, String code, String upstream, String etag) {

    boolean isOk() {
      return status == 200;
    }
  }

  Answer get(String base, String path, String... headers) {
    return send(base, path, "GET", "", headers);
  }

  Answer send(String base, String path, String method, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(base + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(
          response.statusCode(),
          Assert.notNull(response.body(), "body"),
          header(response, "Foxtail-Code"),
          header(response, "Foxtail-Upstream"),
          header(response, "ETag"));
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()), "", "", "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private static String header(HttpResponse<String> response, String name) {
    return response.headers().firstValue(name).orElse("");
  }
}
