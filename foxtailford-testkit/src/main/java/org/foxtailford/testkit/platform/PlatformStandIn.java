package org.foxtailford.testkit.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;

/**
 * Serves the platform's HTTP interface from memory, with faults that tests can switch on.
 * Thread-safe.
 */
public final class PlatformStandIn implements HttpExchangeHandler {

  private static final String TABLE_PREFIX = "/table/";
  private static final String OBJECTS_PREFIX = "/objects/";

  private final InMemoryTable table = new InMemoryTable();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final Map<String, VmEntry> vms = new ConcurrentHashMap<>();
  private final PlatformFaults faults = new PlatformFaults();

  /** Returns the faults to simulate. */
  public PlatformFaults faults() {
    return faults;
  }

  /** Returns the table behind {@code /table/}. */
  public InMemoryTable table() {
    return table;
  }

  /** Adds a VM to the list or replaces its entry. */
  public void putVm(VmEntry vm) {
    vms.put(vm.getName(), vm);
  }

  /** Removes a VM from the list. */
  public void removeVm(String name) {
    vms.remove(name);
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    if (faults.isOutage()) {
      return new CompletableFuture<>();
    }
    String path = exchange.path();
    boolean write = exchange.method().equals(HttpMethod.PUT);
    HttpAnswer answer;
    if (path.startsWith(TABLE_PREFIX)) {
      String key = path.substring(TABLE_PREFIX.length());
      answer = write ? writeRow(key, exchange) : readRow(key, exchange);
    } else if (path.startsWith(OBJECTS_PREFIX)) {
      String name = path.substring(OBJECTS_PREFIX.length());
      answer = write ? putObject(name, exchange) : getObject(name);
    } else if (path.equals("/vms")) {
      answer = listVms();
    } else {
      answer = refuse(ResultCode.UNKNOWN_RESOURCE, "no resource " + path);
    }
    boolean lost = write && faults.losesWriteAnswers();
    return lost ? new CompletableFuture<>() : CompletableFuture.completedFuture(answer);
  }

  private HttpAnswer readRow(String key, HttpExchange exchange) {
    Optional<TableRow> row = table.find(key);
    if (row.isEmpty()) {
      return HttpAnswer.text(404, "text/plain", "");
    }
    String knownTag = exchange.headers().get(HttpHeaderNames.IF_NONE_MATCH);
    if (('"' + Long.toString(row.get().version()) + '"').equals(knownTag)) {
      return withVersion(row.get().version(), 304, new byte[0]);
    }
    return withVersion(row.get().version(), 200, row.get().value().toByteArray());
  }

  private HttpAnswer writeRow(String key, HttpExchange exchange) {
    String expectedTag = exchange.headers().get(HttpHeaderNames.IF_MATCH);
    long expectedVersion =
        expectedTag == null ? TableService.ABSENT : Long.parseLong(expectedTag.replace("\"", ""));
    WriteResult result =
        table.write(key, expectedVersion, ByteString.copyFrom(exchange.body())).join();
    return withVersion(result.version(), result.applied() ? 200 : 412, new byte[0]);
  }

  private static HttpAnswer withVersion(long version, int status, byte[] body) {
    HttpAnswer answer = HttpAnswer.text(status, "application/octet-stream", "");
    answer.headers().set(HttpHeaderNames.ETAG, '"' + Long.toString(version) + '"');
    return new HttpAnswer(status, answer.headers(), body);
  }

  private HttpAnswer getObject(String name) {
    byte[] content = objects.get(name);
    if (content == null) {
      return HttpAnswer.text(404, "text/plain", "");
    }
    return withVersion(0, 200, content);
  }

  private HttpAnswer putObject(String name, HttpExchange exchange) {
    objects.put(name, exchange.body());
    return HttpAnswer.text(200, "text/plain", "");
  }

  private HttpAnswer listVms() {
    try {
      VmList list = VmList.newBuilder().addAllVms(vms.values()).build();
      return HttpAnswer.json(200, JsonFormat.printer().print(list));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return HttpAnswer.text(code.httpStatus(), "text/plain", message);
  }
}
