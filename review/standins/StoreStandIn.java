import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store: rows in tables, conditional transactions and a feed of changes. */
final class StoreStandIn implements AutoCloseable {

  private static final class Row {
    final String table;
    final String part;
    final String key;
    final String value;
    final long version;
    final boolean deleted;

    Row(String table, String part, String key, String value, long version, boolean deleted) {
      this.table = table;
      this.part = part;
      this.key = key;
      this.value = value;
      this.version = version;
      this.deleted = deleted;
    }

    String json() {
      return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":"
          + Json.quote(key) + ",\"value\":" + Json.quote(value) + ",\"resource_version\":" + version
          + (deleted ? ",\"deleted\":true}" : "}");
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private long version;

  StoreStandIn() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes a row of the operator or of an instance. */
  synchronized void put(String table, String key, String json) {
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    apply(new Row(table, "", key, value, ++version, false));
  }

  synchronized void remove(String table, String key) {
    if (rows.containsKey(id(table, "", key))) {
      apply(new Row(table, "", key, "", ++version, true));
    }
  }

  private static String id(String table, String part, String key) {
    return table + "\u0000" + part + "\u0000" + key;
  }

  private void apply(Row row) {
    if (row.deleted) {
      rows.remove(id(row.table, row.part, row.key));
    } else {
      rows.put(id(row.table, row.part, row.key), row);
    }
    history.add(row);
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/rows-get":
          answer(exchange, 200, get(query));
          break;
        case "/rows-feed":
          answer(exchange, 200, feed(query));
          break;
        case "/rows-parts":
          answer(exchange, 200, "{\"parts\":[\"\"],\"has_more\":false}");
          break;
        case "/rows-tx":
          transact(exchange, Json.object(Json.parse(new String(body, StandardCharsets.UTF_8))));
          break;
        default:
          answer(exchange, 404, "{}");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(
          parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void answer(HttpExchange exchange, int status, String json) throws IOException {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private String page(List<Row> page) {
    List<String> parts = new ArrayList<>();
    page.forEach(row -> parts.add(row.json()));
    return "{\"rows\":[" + String.join(",", parts) + "],\"resource_version\":" + version
        + ",\"now\":" + System.nanoTime() / 1_000_000 + ",\"has_more\":false}";
  }

  private synchronized String get(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    String to = query.getOrDefault("to", "");
    List<Row> page = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.table.equals(query.get("table"))
          && row.part.equals(query.getOrDefault("part", ""))
          && row.key.compareTo(from) >= 0
          && (to.isEmpty() || row.key.compareTo(to) < 0)) {
        page.add(row);
      }
    }
    return page(page);
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endNanos =
        System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    while (true) {
      Map<String, Row> changed = new TreeMap<>();
      for (Row row : history) {
        if (row.version > after && row.table.equals(query.get("table"))) {
          changed.put(row.part + "\u0000" + row.key, row);
        }
      }
      long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || leftMs <= 0) {
        List<Row> page = new ArrayList<>(changed.values());
        page.sort((a, b) -> Long.compare(a.version, b.version));
        return page(page);
      }
      wait(leftMs);
    }
  }

  private void transact(HttpExchange exchange, Map<String, Object> body) throws IOException {
    String answer;
    int status = 200;
    synchronized (this) {
      List<Row> current = new ArrayList<>();
      for (Object entry : Json.list(body.get("expect"))) {
        Map<String, Object> expect = Json.object(entry);
        Row row = rows.get(id(expect));
        if (row != null) {
          current.add(row);
        }
        long expected = ((Number) expect.get("resource_version")).longValue();
        if (expected != (row == null ? 0 : row.version)) {
          status = 412;
        }
      }
      if (status == 200) {
        long next = ++version;
        for (Object entry : Json.list(body.get("puts"))) {
          Map<String, Object> put = Json.object(entry);
          apply(new Row(text(put, "table"), text(put, "part"), text(put, "key"),
              text(put, "value"), next, false));
        }
        for (Object entry : Json.list(body.get("remove"))) {
          Map<String, Object> remove = Json.object(entry);
          apply(new Row(text(remove, "table"), text(remove, "part"), text(remove, "key"), "",
              next, true));
        }
      }
      answer = page(status == 200 ? List.of() : current);
    }
    answer(exchange, status, answer);
  }

  private static String text(Map<String, Object> entry, String field) {
    Object value = entry.get(field);
    return value == null ? "" : value.toString();
  }

  private static String id(Map<String, Object> entry) {
    return id(text(entry, "table"), text(entry, "part"), text(entry, "key"));
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
