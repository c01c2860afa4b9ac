package org.foxtailford.platform;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.VmListSource;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.VmList;

/**
 * Reads the platform's VM list over HTTP: {@code GET /vms}, answered as JSON. Thread-safe.
 *
 * <p>Unknown fields of the list are ignored. A status other than 200 or an unreadable list fails
 * the future with {@code PLATFORM_UNAVAILABLE}.
 */
public final class HttpVmListSource implements VmListSource {

  private static final byte[] NO_BODY = new byte[0];
  private static final int OK = 200;

  private final HttpClient client;
  private final Endpoint endpoint;
  private final int timeoutMs;

  /**
   * Creates a client of the VM list.
   *
   * @param client sends the calls
   * @param endpoint address of the service
   * @param timeoutMs timeout of each call, in milliseconds
   */
  public HttpVmListSource(HttpClient client, Endpoint endpoint, int timeoutMs) {
    this.client = Assert.notNull(client, "client");
    this.endpoint = Assert.notNull(endpoint, "endpoint");
    this.timeoutMs = timeoutMs;
  }

  @Override
  public CompletableFuture<VmList> read() {
    HttpExchange get = new HttpExchange(HttpMethod.GET, "/vms", new DefaultHttpHeaders(), NO_BODY);
    return client.send(endpoint, get, timeoutMs).thenApply(HttpVmListSource::toVmList);
  }

  private static VmList toVmList(HttpAnswer answer) {
    HttpTableService.requireStatus(answer, OK);
    try {
      VmList.Builder list = VmList.newBuilder();
      JsonFormat.parser().ignoringUnknownFields().merge(answer.bodyText(), list);
      return list.build();
    } catch (InvalidProtocolBufferException e) {
      throw new ResultCodeException(
          ResultCode.PLATFORM_UNAVAILABLE, "the VM list cannot be read", e);
    }
  }
}
