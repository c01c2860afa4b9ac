package org.foxtailford.testkit.published;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.schema.Endpoint;

/** Stand-in for the platform's row store: rows, transactions and feeds in memory. Thread-safe. */
public final class RowStoreStandIn implements HttpExchangeHandler, AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long POLL_INTERVAL_MS = 10;
  private static final int MAX_PAGE_ROWS = 500;

  private final EventLoopGroup loops;
  private final HttpServer server;
  private final RowStoreFaults faults = new RowStoreFaults();
  private final Map<String, TreeMap<String, VersionedRow>> tables = new TreeMap<>();
  private final List<String> calls = new ArrayList<>();
  private long version = 1;
  private long oldestFeedVersion;
  private long era = 1;
  private Copy copy = new Copy(Map.of(), 1);
  private int port;

  private record VersionedRow(String value, long version, boolean deleted) {}

  /** State of the store at one moment, to which it can be restored. */
  private record Copy(Map<String, TreeMap<String, VersionedRow>> tables, long version) {}

  /** Creates a store without rows. */
  public RowStoreStandIn(EventLoopGroup loops) {
    this.loops = Assert.notNull(loops, "loops");
    this.server = new HttpServer(loops, new HttpLimits(8 << 10, 2 << 20), this);
  }

  /** Starts the server on a free port of the loopback address and returns this store. */
  public RowStoreStandIn start() {
    port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").setPort(0).build());
    return this;
  }

  /** Returns the port, or 0 before the start. */
  public int port() {
    return port;
  }

  /** Returns the faults to simulate. */
  public RowStoreFaults faults() {
    return faults;
  }

  /** Returns the calls received so far, each as method and URI, separated by a space. */
  public synchronized List<String> calls() {
    return List.copyOf(calls);
  }

  /** Writes a row without a version check, as operators and upstreams do. */
  public synchronized void put(String table, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    store(
        table, key, new VersionedRow(Base64.getEncoder().encodeToString(bytes), ++version, false));
  }

  /** Removes a row; feeds report it as deleted. */
  public synchronized void remove(String table, String key) {
    store(table, key, new VersionedRow("", ++version, true));
  }

  /** Discards the change history: feeds after an earlier version get status 410. */
  public synchronized void discardHistory() {
    oldestFeedVersion = ++version;
  }

  /** Copies the present state, for {@link #restoreCopy()}. */
  public synchronized void takeCopy() {
    copy = new Copy(deepCopy(tables), version);
  }

  /**
   * Returns to the state of the last copy: later writes are gone, their versions are given out
   * again, and a new era begins.
   */
  public synchronized void restoreCopy() {
    tables.clear();
    tables.putAll(deepCopy(copy.tables()));
    version = copy.version();
    oldestFeedVersion = Math.min(oldestFeedVersion, version);
    era++;
  }

  private static Map<String, TreeMap<String, VersionedRow>> deepCopy(
      Map<String, TreeMap<String, VersionedRow>> original) {
    Map<String, TreeMap<String, VersionedRow>> duplicate = new TreeMap<>();
    original.forEach((table, rows) -> duplicate.put(table, new TreeMap<>(rows)));
    return duplicate;
  }

  /** Returns whether a row exists. */
  public synchronized boolean has(String table, String key) {
    VersionedRow row = tables.getOrDefault(table, new TreeMap<>()).get(key);
    return row != null && !row.deleted();
  }

  private void store(String table, String key, VersionedRow row) {
    tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, row);
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    synchronized (this) {
      calls.add(exchange.method() + " " + exchange.uri());
    }
    if (faults.isUnavailable()) {
      return CompletableFuture.completedFuture(HttpAnswer.json(503, "{}"));
    }
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    loops.next().schedule(() -> answer(exchange, answer), faults.delayMs(), TimeUnit.MILLISECONDS);
    return answer.thenApply(this::withEra);
  }

  private void answer(HttpExchange exchange, CompletableFuture<HttpAnswer> answer) {
    QueryStringDecoder query = new QueryStringDecoder(exchange.uri());
    switch (exchange.path()) {
      case "/rows-get":
        answer.complete(get(query));
        break;
      case "/rows-feed":
        long deadlineMs =
            System.currentTimeMillis() + Long.parseLong(parameter(query, "wait_ms", "0"));
        feed(query, deadlineMs, answer);
        break;
      case "/rows-tx":
        HttpAnswer result = transact(exchange.body());
        if (!faults.consumeLostAnswer()) {
          answer.complete(result);
        }
        break;
      default:
        answer.complete(HttpAnswer.json(404, "{}"));
    }
  }

  private synchronized HttpAnswer withEra(HttpAnswer answer) {
    HttpHeaders headers = answer.headers().copy().set("Store-Era", era);
    return new HttpAnswer(answer.status(), headers, answer.body());
  }

  private static String parameter(QueryStringDecoder query, String name, String fallback) {
    List<String> values = query.parameters().get(name);
    return values == null ? fallback : values.get(0);
  }

  private synchronized HttpAnswer get(QueryStringDecoder query) {
    ObjectNode body = newBody();
    ArrayNode rows = body.putArray("rows");
    String from = parameter(query, "from", "");
    Map<String, VersionedRow> table =
        tables.getOrDefault(parameter(query, "table", ""), new TreeMap<>()).tailMap(from, true);
    for (Map.Entry<String, VersionedRow> row : table.entrySet()) {
      if (!row.getValue().deleted()) {
        if (rows.size() == MAX_PAGE_ROWS) {
          return HttpAnswer.json(200, body.put("has_more", true).toString());
        }
        addRow(rows, parameter(query, "table", ""), row.getKey(), row.getValue());
      }
    }
    return HttpAnswer.json(200, body.put("has_more", false).toString());
  }

  /** Completes the answer when there are rows to report or the deadline has passed. */
  private void feed(
      QueryStringDecoder query, long deadlineMs, CompletableFuture<HttpAnswer> answer) {
    long after = Long.parseLong(parameter(query, "after", "0"));
    synchronized (this) {
      if (after < oldestFeedVersion || after > version) {
        answer.complete(HttpAnswer.json(410, "{}"));
        return;
      }
      ObjectNode body = newBody();
      ArrayNode rows = body.putArray("rows");
      tables.getOrDefault(parameter(query, "table", ""), new TreeMap<>()).entrySet().stream()
          .filter(row -> row.getValue().version() > after)
          .forEach(
              row -> addRow(rows, parameter(query, "table", ""), row.getKey(), row.getValue()));
      if (!rows.isEmpty() || System.currentTimeMillis() >= deadlineMs) {
        answer.complete(HttpAnswer.json(200, body.toString()));
        return;
      }
    }
    loops
        .next()
        .schedule(() -> feed(query, deadlineMs, answer), POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private ObjectNode newBody() {
    return MAPPER.createObjectNode().put("resource_version", version).put("now", "1000ms");
  }

  private static void addRow(ArrayNode rows, String table, String key, VersionedRow row) {
    ObjectNode node = rows.addObject().put("table", table).put("part", "").put("key", key);
    node.put("resource_version", row.version());
    if (row.deleted()) {
      node.put("deleted", true);
    } else {
      node.put("value", row.value());
    }
  }

  private synchronized HttpAnswer transact(byte[] bytes) {
    JsonNode body;
    try {
      body = MAPPER.readTree(bytes);
    } catch (IOException e) {
      return HttpAnswer.json(400, "{}");
    }
    for (JsonNode expected : body.path("expect")) {
      VersionedRow row = findRow(expected);
      long currentVersion = row == null || row.deleted() ? 0 : row.version();
      if (currentVersion != expected.path("resource_version").asLong()) {
        return HttpAnswer.json(412, "{\"rows\":[]}");
      }
    }
    version++;
    for (JsonNode put : body.path("puts")) {
      VersionedRow row = new VersionedRow(put.path("value").asText(), version, false);
      store(put.path("table").asText(), put.path("key").asText(), row);
    }
    for (JsonNode removed : body.path("remove")) {
      VersionedRow row = new VersionedRow("", version, true);
      store(removed.path("table").asText(), removed.path("key").asText(), row);
    }
    return HttpAnswer.json(200, newBody().toString());
  }

  private VersionedRow findRow(JsonNode rowId) {
    return tables
        .getOrDefault(rowId.path("table").asText(), new TreeMap<>())
        .get(rowId.path("key").asText());
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return HttpAnswer.json(400, "{}");
  }

  @Override
  public void close() {
    server.close();
  }
}
