package org.foxtailford.testkit.published;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
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

/** Stand-in of the platform's store: rows, transactions and feeds, in memory. Thread-safe. */
public final class RowStoreStandIn implements HttpExchangeHandler, AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long LOOK_MS = 10;
  private static final int PAGE = 500;

  private final EventLoopGroup loops;
  private final HttpServer server;
  private final RowStoreFaults faults = new RowStoreFaults();
  private final Map<String, TreeMap<String, Stored>> tables = new TreeMap<>();
  private final List<String> calls = new ArrayList<>();
  private long version = 1;
  private long historyFrom;
  private int port;

  private record Stored(String value, long version, boolean deleted) {}

  /** Creates a store without rows. */
  public RowStoreStandIn(EventLoopGroup loops) {
    this.loops = Assert.notNull(loops, "loops");
    this.server = new HttpServer(loops, new HttpLimits(8 << 10, 2 << 20), this);
  }

  /** Starts on a free port of the loopback address. */
  public RowStoreStandIn start() {
    port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").setPort(0).build());
    return this;
  }

  /** Returns the port. */
  public int port() {
    return port;
  }

  /** Returns the faults. */
  public RowStoreFaults faults() {
    return faults;
  }

  /** Returns the calls so far, as method, path and query. */
  public synchronized List<String> calls() {
    return List.copyOf(calls);
  }

  /** Writes a row as operators and upstreams do. */
  public synchronized void put(String table, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    store(table, key, new Stored(Base64.getEncoder().encodeToString(bytes), ++version, false));
  }

  /** Removes a row. */
  public synchronized void remove(String table, String key) {
    store(table, key, new Stored("", ++version, true));
  }

  /** Forgets the history, so that feeds must begin anew. */
  public synchronized void discardHistory() {
    historyFrom = ++version;
  }

  private void store(String table, String key, Stored row) {
    tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, row);
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    synchronized (this) {
      calls.add(exchange.method() + " " + exchange.uri());
    }
    if (faults.isDown()) {
      return CompletableFuture.completedFuture(HttpAnswer.json(503, "{}"));
    }
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    loops.next().schedule(() -> answer(exchange, answer), faults.delayMs(), TimeUnit.MILLISECONDS);
    return answer;
  }

  private void answer(HttpExchange exchange, CompletableFuture<HttpAnswer> answer) {
    QueryStringDecoder query = new QueryStringDecoder(exchange.uri());
    switch (exchange.path()) {
      case "/rows-get":
        answer.complete(get(query));
        break;
      case "/rows-feed":
        long untilMs = System.currentTimeMillis() + Long.parseLong(one(query, "wait_ms", "0"));
        feed(query, untilMs, answer);
        break;
      case "/rows-tx":
        HttpAnswer done = transact(exchange.body());
        if (!faults.losesWrite()) {
          answer.complete(done);
        }
        break;
      default:
        answer.complete(HttpAnswer.json(404, "{}"));
    }
  }

  private static String one(QueryStringDecoder query, String name, String otherwise) {
    List<String> values = query.parameters().get(name);
    return values == null ? otherwise : values.get(0);
  }

  private synchronized HttpAnswer get(QueryStringDecoder query) {
    ObjectNode body = body();
    ArrayNode rows = body.putArray("rows");
    String from = one(query, "from", "");
    Map<String, Stored> table =
        tables.getOrDefault(one(query, "table", ""), new TreeMap<>()).tailMap(from, true);
    for (Map.Entry<String, Stored> row : table.entrySet()) {
      if (!row.getValue().deleted()) {
        if (rows.size() == PAGE) {
          return HttpAnswer.json(200, body.put("has_more", true).toString());
        }
        add(rows, one(query, "table", ""), row.getKey(), row.getValue());
      }
    }
    return HttpAnswer.json(200, body.put("has_more", false).toString());
  }

  private void feed(QueryStringDecoder query, long untilMs, CompletableFuture<HttpAnswer> answer) {
    long after = Long.parseLong(one(query, "after", "0"));
    synchronized (this) {
      if (after < historyFrom) {
        answer.complete(HttpAnswer.json(410, "{}"));
        return;
      }
      ObjectNode body = body();
      ArrayNode rows = body.putArray("rows");
      tables.getOrDefault(one(query, "table", ""), new TreeMap<>()).entrySet().stream()
          .filter(row -> row.getValue().version() > after)
          .forEach(row -> add(rows, one(query, "table", ""), row.getKey(), row.getValue()));
      if (!rows.isEmpty() || System.currentTimeMillis() >= untilMs) {
        answer.complete(HttpAnswer.json(200, body.toString()));
        return;
      }
    }
    loops.next().schedule(() -> feed(query, untilMs, answer), LOOK_MS, TimeUnit.MILLISECONDS);
  }

  private ObjectNode body() {
    return MAPPER.createObjectNode().put("resource_version", version).put("now", "1000ms");
  }

  private static void add(ArrayNode rows, String table, String key, Stored row) {
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
      Stored row = stored(expected);
      long present = row == null || row.deleted() ? 0 : row.version();
      if (present != expected.path("resource_version").asLong()) {
        return HttpAnswer.json(412, "{\"rows\":[]}");
      }
    }
    version++;
    for (JsonNode put : body.path("puts")) {
      Stored row = new Stored(put.path("value").asText(), version, false);
      store(put.path("table").asText(), put.path("key").asText(), row);
    }
    return HttpAnswer.json(200, body().toString());
  }

  private Stored stored(JsonNode named) {
    return tables
        .getOrDefault(named.path("table").asText(), new TreeMap<>())
        .get(named.path("key").asText());
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
