package org.foxtailford.platform;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.ObjectStore;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.Endpoint;

/**
 * Client of the object store over HTTP: {@code GET} and {@code PUT /objects/NAME}. Thread-safe.
 *
 * <p>A status other than the expected ones fails the future with {@code PLATFORM_UNAVAILABLE}.
 */
public final class HttpObjectStore implements ObjectStore {

  private static final byte[] NO_BODY = new byte[0];
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final HttpClient client;
  private final Endpoint endpoint;
  private final int timeoutMs;

  /**
   * Creates a client of the object store.
   *
   * @param client sends the calls
   * @param endpoint address of the service
   * @param timeoutMs timeout of each call, in milliseconds
   */
  public HttpObjectStore(HttpClient client, Endpoint endpoint, int timeoutMs) {
    this.client = Assert.notNull(client, "client");
    this.endpoint = Assert.notNull(endpoint, "endpoint");
    this.timeoutMs = timeoutMs;
  }

  @Override
  public CompletableFuture<Optional<ByteString>> get(String name) {
    return send(HttpMethod.GET, name, NO_BODY).thenApply(HttpObjectStore::toContent);
  }

  private static Optional<ByteString> toContent(HttpAnswer answer) {
    if (answer.status() == NOT_FOUND) {
      return Optional.empty();
    }
    HttpTableService.requireStatus(answer, OK);
    return Optional.of(ByteString.copyFrom(answer.body()));
  }

  @Override
  public CompletableFuture<Void> put(String name, ByteString content) {
    return send(HttpMethod.PUT, name, content.toByteArray())
        .thenAccept(answer -> HttpTableService.requireStatus(answer, OK));
  }

  private CompletableFuture<HttpAnswer> send(HttpMethod method, String name, byte[] body) {
    HttpExchange exchange =
        new HttpExchange(method, "/objects/" + name, new DefaultHttpHeaders(), body);
    return client.send(endpoint, exchange, timeoutMs);
  }
}
