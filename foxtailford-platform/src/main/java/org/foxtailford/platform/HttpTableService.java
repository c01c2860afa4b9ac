package org.foxtailford.platform;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.Endpoint;

/**
 * Client of the table service over HTTP: {@code GET} and {@code PUT /table/KEY} with entity tags.
 *
 * <p>The entity tag of a row is its version. A write carries {@code If-Match} with the expected
 * version, or {@code If-None-Match: *} for a row that must not exist. A read carries {@code
 * If-None-Match} with the version that the reader has, so that an unchanged row is not transferred
 * again. A status other than the expected ones fails the future with {@code PLATFORM_UNAVAILABLE}.
 * Thread-safe.
 */
public final class HttpTableService implements TableService {

  private static final byte[] NO_BODY = new byte[0];
  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;

  private final HttpClient client;
  private final Endpoint endpoint;
  private final int timeoutMs;

  /**
   * Creates a client of the table service.
   *
   * @param client sends the calls
   * @param endpoint address of the service
   * @param timeoutMs timeout of each call, in milliseconds
   */
  public HttpTableService(HttpClient client, Endpoint endpoint, int timeoutMs) {
    this.client = Assert.notNull(client, "client");
    this.endpoint = Assert.notNull(endpoint, "endpoint");
    this.timeoutMs = timeoutMs;
  }

  @Override
  public CompletableFuture<Optional<TableRow>> read(String key) {
    return read(key, new DefaultHttpHeaders());
  }

  @Override
  public CompletableFuture<Optional<TableRow>> readIfChanged(String key, long knownVersion) {
    String tag = '"' + Long.toString(knownVersion) + '"';
    return read(key, new DefaultHttpHeaders().set(HttpHeaderNames.IF_NONE_MATCH, tag));
  }

  private CompletableFuture<Optional<TableRow>> read(String key, HttpHeaders headers) {
    HttpExchange get = new HttpExchange(HttpMethod.GET, "/table/" + key, headers, NO_BODY);
    return client.send(endpoint, get, timeoutMs).thenApply(answer -> toRow(key, answer));
  }

  private static Optional<TableRow> toRow(String key, HttpAnswer answer) {
    if (answer.status() == NOT_FOUND || answer.status() == NOT_MODIFIED) {
      return Optional.empty();
    }
    requireStatus(answer, OK);
    return Optional.of(new TableRow(key, parseVersion(answer), ByteString.copyFrom(answer.body())));
  }

  @Override
  public CompletableFuture<WriteResult> write(String key, long expectedVersion, ByteString value) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (expectedVersion == ABSENT) {
      headers.set(HttpHeaderNames.IF_NONE_MATCH, "*");
    } else {
      headers.set(HttpHeaderNames.IF_MATCH, '"' + Long.toString(expectedVersion) + '"');
    }
    HttpExchange put =
        new HttpExchange(HttpMethod.PUT, "/table/" + key, headers, value.toByteArray());
    return client.send(endpoint, put, timeoutMs).thenApply(HttpTableService::toResult);
  }

  private static WriteResult toResult(HttpAnswer answer) {
    if (answer.status() == PRECONDITION_FAILED) {
      return new WriteResult(false, parseVersion(answer));
    }
    requireStatus(answer, OK);
    return new WriteResult(true, parseVersion(answer));
  }

  private static long parseVersion(HttpAnswer answer) {
    String tag = answer.headers().get(HttpHeaderNames.ETAG);
    if (tag == null || !tag.matches("\"[0-9]{1,18}\"")) {
      throw new ResultCodeException(
          ResultCode.PLATFORM_UNAVAILABLE, "the table's answer has no version");
    }
    return Long.parseLong(tag.substring(1, tag.length() - 1));
  }

  /** Throws {@code PLATFORM_UNAVAILABLE} unless an answer has the expected status. */
  static void requireStatus(HttpAnswer answer, int status) {
    if (answer.status() != status) {
      throw new ResultCodeException(
          ResultCode.PLATFORM_UNAVAILABLE, "the platform answered " + answer.status());
    }
  }
}
