import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What the scripts share: JSON, HTTP, the store, instances, the entry VM and the record. */
final class Lab {

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private Lab() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "lab", 128 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Returns a free port below those that the kernel gives to sockets which name none. */
  static int freePort() throws IOException {
    for (int tries = 0; tries < 1000; tries++) {
      int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
        return port;
      } catch (BindException e) {
        // taken
      }
    }
    throw new IOException("no free port");
  }

  /** Reads JSON into maps, lists, strings, longs, doubles and booleans. */
  static final class Json {

    private final String text;
    private int at;

    private Json(String text) {
      this.text = text;
    }

    static Object parse(byte[] bytes) {
      return new Json(new String(bytes, StandardCharsets.UTF_8)).value();
    }

    private void skip() {
      while (at < text.length() && text.charAt(at) <= ' ') {
        at++;
      }
    }

    private Object value() {
      skip();
      char c = text.charAt(at);
      if (c == '{') {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        for (skip(); text.charAt(at) != '}'; skip()) {
          if (text.charAt(at) == ',') {
            at++;
            skip();
          }
          String key = string();
          skip();
          at++;
          map.put(key, value());
        }
        at++;
        return map;
      }
      if (c == '[') {
        List<Object> list = new ArrayList<>();
        at++;
        for (skip(); text.charAt(at) != ']'; skip()) {
          if (text.charAt(at) == ',') {
            at++;
          }
          list.add(value());
        }
        at++;
        return list;
      }
      if (c == '"') {
        return string();
      }
      int begin = at;
      while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
        at++;
      }
      String word = text.substring(begin, at);
      if (word.equals("true") || word.equals("false")) {
        return Boolean.valueOf(word);
      }
      if (word.equals("null")) {
        return null;
      }
      return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    }

    private String string() {
      StringBuilder out = new StringBuilder();
      at++;
      while (text.charAt(at) != '"') {
        char c = text.charAt(at++);
        if (c == '\\') {
          char escaped = text.charAt(at++);
          if (escaped == 'u') {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          } else {
            int known = "nrtbf".indexOf(escaped);
            out.append(known < 0 ? escaped : "\n\r\t\b\f".charAt(known));
          }
        } else {
          out.append(c);
        }
      }
      at++;
      return out.toString();
    }

    static String quote(String text) {
      return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
  }

  /** An HTTP message as received; the names of its fields are in lower case. */
  static final class Message {

    String line = "";
    final Map<String, String> fields = new TreeMap<>();
    byte[] body = new byte[0];

    String field(String name) {
      return fields.getOrDefault(name, "");
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    String path() {
      return line.split(" ")[1];
    }
  }

  /** Reads a message whose body has a length or chunks; null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    Message message = readHead(in);
    if (message == null) {
      return null;
    }
    if (message.field("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(line(in).trim(), 16);
        if (size == 0) {
          line(in);
          break;
        }
        body.write(exactly(in, size));
        line(in);
      }
      message.body = body.toByteArray();
    } else if (!message.field("content-length").isEmpty()) {
      message.body = exactly(in, Integer.parseInt(message.field("content-length")));
    }
    return message;
  }

  static Message readHead(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Message message = new Message();
    message.line = first;
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      message.fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    return message;
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (out.size() == 0) {
          return null;
        }
        throw new EOFException("within a line");
      }
      if (b != '\r') {
        out.write(b);
      }
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("within a body");
    }
    return bytes;
  }

  static byte[] answer(int status, String fields, byte[] body) {
    byte[] head =
        ("HTTP/1.1 " + status + " S\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] whole = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, whole, head.length, body.length);
    return whole;
  }

  /** Serves connections, each in a thread of its own. */
  interface Service {
    void serve(InputStream in, OutputStream out, Socket socket) throws IOException;
  }

  /** Listens on a free port of the loopback address and returns the socket. */
  static ServerSocket listen(Service service) throws IOException {
    ServerSocket server = new ServerSocket(0, 512, LOOPBACK);
    daemon(
        () -> {
          while (true) {
            Socket socket;
            try {
              socket = server.accept();
              socket.setTcpNoDelay(true);
            } catch (IOException e) {
              return;
            }
            daemon(
                () -> {
                  try (socket) {
                    service.serve(
                        new BufferedInputStream(socket.getInputStream()),
                        socket.getOutputStream(),
                        socket);
                  } catch (IOException e) {
                    // the peer has left
                  }
                });
          }
        });
    return server;
  }

  /** The platform's store: rows, transactions and feeds, as PROTOCOL.md says. */
  static final class Store implements Service {

    static final int ROW_BYTES = 65536;

    private record Row(String value, long version, boolean deleted) {}

    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private long version = 1;
    final ServerSocket server;
    private long refusedRows;
    private long largestRow;

    Store() throws IOException {
      server = listen(this);
    }

    synchronized void put(String table, String key, String json) {
      String value =
          Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
      table(table).put(key, new Row(value, ++version, false));
      notifyAll();
    }

    /** Returns the number of writes that were refused since a row was over the limit. */
    synchronized long refusedRows() {
      return refusedRows;
    }

    /** Returns the size of the largest row that was to be written, in bytes. */
    synchronized long largestRow() {
      return largestRow;
    }

    private TreeMap<String, Row> table(String name) {
      return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    @Override
    public void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
      for (Message call = read(in); call != null; call = read(in)) {
        String[] target = call.path().split("\\?", 2);
        Map<String, String> query = new TreeMap<>();
        for (String pair : (target.length > 1 ? target[1] : "").split("&")) {
          String[] parts = pair.split("=", 2);
          String value = parts.length > 1 ? parts[1] : "";
          query.put(parts[0], URLDecoder.decode(value, StandardCharsets.UTF_8));
        }
        sleep(4);
        if (target[0].equals("/rows-get")) {
          out.write(json(200, get(query)));
        } else if (target[0].equals("/rows-feed")) {
          out.write(json(200, feed(query)));
        } else if (target[0].equals("/rows-tx")) {
          out.write(transact(call.body));
        } else {
          out.write(json(404, "{}"));
        }
        out.flush();
      }
    }

    private static byte[] json(int status, String body) {
      return answer(
          status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }

    private String page(String table, Map<String, Row> rows, boolean more) {
      StringBuilder out = new StringBuilder("{\"rows\":[");
      rows.forEach(
          (key, row) -> {
            out.append(out.charAt(out.length() - 1) == '[' ? "" : ",");
            out.append("{\"table\":").append(Json.quote(table)).append(",\"part\":\"\",\"key\":");
            out.append(Json.quote(key)).append(",\"resource_version\":").append(row.version());
            out.append(
                row.deleted() ? ",\"deleted\":true}" : ",\"value\":\"" + row.value() + "\"}");
          });
      return out + "],\"has_more\":" + more + ",\"resource_version\":" + version
          + ",\"now\":\"" + nowMs() + "ms\"}";
    }

    private synchronized String get(Map<String, String> query) {
      Map<String, Row> rows = new LinkedHashMap<>();
      for (Map.Entry<String, Row> row :
          table(query.get("table")).tailMap(query.getOrDefault("from", ""), true).entrySet()) {
        if (!row.getValue().deleted()) {
          if (rows.size() == 500) {
            return page(query.get("table"), rows, true);
          }
          rows.put(row.getKey(), row.getValue());
        }
      }
      return page(query.get("table"), rows, false);
    }

    private synchronized String feed(Map<String, String> query) {
      long after = Long.parseLong(query.get("after"));
      long untilMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      while (true) {
        Map<String, Row> rows = new LinkedHashMap<>();
        table(query.get("table"))
            .forEach(
                (key, row) -> {
                  if (row.version() > after) {
                    rows.put(key, row);
                  }
                });
        long leftMs = untilMs - nowMs();
        if (!rows.isEmpty() || leftMs <= 0) {
          return page(query.get("table"), rows, false);
        }
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    @SuppressWarnings("unchecked")
    private synchronized byte[] transact(byte[] body) {
      Map<String, Object> call = (Map<String, Object>) Json.parse(body);
      for (Object entry : (List<Object>) call.getOrDefault("expect", List.of())) {
        Map<String, Object> expected = (Map<String, Object>) entry;
        Row row = table((String) expected.get("table")).get(expected.get("key"));
        long current = row == null || row.deleted() ? 0 : row.version();
        if (current != (Long) expected.get("resource_version")) {
          return json(412, "{\"rows\":[]}");
        }
      }
      List<Object> puts = (List<Object>) call.getOrDefault("puts", List.of());
      for (Object entry : puts) {
        String value = (String) ((Map<String, Object>) entry).get("value");
        int bytes = Base64.getDecoder().decode(value).length;
        largestRow = Math.max(largestRow, bytes);
        if (bytes > ROW_BYTES) {
          refusedRows++;
          return json(400, "{}");
        }
      }
      version++;
      for (Object entry : puts) {
        Map<String, Object> put = (Map<String, Object>) entry;
        table((String) put.get("table"))
            .put((String) put.get("key"), new Row((String) put.get("value"), version, false));
      }
      for (Object entry : (List<Object>) call.getOrDefault("remove", List.of())) {
        Map<String, Object> removed = (Map<String, Object>) entry;
        table((String) removed.get("table"))
            .put((String) removed.get("key"), new Row("", version, true));
      }
      notifyAll();
      return json(200, "{\"resource_version\":" + version + ",\"now\":\"" + nowMs() + "ms\"}");
    }
  }

  /**
   * An instance that is sound: it answers 421 to what names another one, and states its load.
   * Subclasses say how it answers the rest.
   */
  abstract static class Instance implements Service {

    final String service;
    final String id;
    final int slots;
    private final ServerSocket server;
    private final AtomicInteger running = new AtomicInteger();

    Instance(String service, String id, int slots) throws IOException {
      this.service = service;
      this.id = id;
      this.slots = slots;
      this.server = listen(this);
    }

    /** Returns a whole answer, which begins with the given fields. */
    abstract byte[] answer(Message call, String fields) throws IOException;

    String row() {
      return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"version\":"
              + "\"v1\",\"slots\":%d,\"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":1,"
              + "\"born\":1700000000000}")
          .formatted(service, server.getLocalPort(), slots);
    }

    @Override
    public void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
      for (Message call = read(in); call != null; call = read(in)) {
        String echo = "Request-Id: " + call.field("request-id") + "\r\n";
        if (!call.field("target-instance").equals(id)) {
          out.write(Lab.answer(421, echo, new byte[0]));
        } else {
          int load = Math.min(slots, running.incrementAndGet());
          try {
            out.write(answer(call, echo + "Instance-Load: " + load + ",0," + slots + ",100\r\n"));
          } finally {
            running.decrementAndGet();
          }
        }
        out.flush();
      }
    }
  }

  /** Returns a configuration with one route to one service, with the limits of the users' pages. */
  static String configuration(String service, String kind, String timeout, boolean keyed) {
    return ("{\"version\":\"r3\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\","
            + "\"timeout\",\"target_latency\",\"priority\",\"max_attempts\",\"service\"],\"rows\":[["
            + "\"SERVICE\",\"SERVICE.example\",\"/SERVICE/\",\"KIND\",\"TIMEOUT\",\"500ms\",1,2,"
            + "\"SERVICE\"]]},\"services\":{\"columns\":[\"name\",\"health_check_path\","
            + "\"max_connections\",\"warmup\",\"warmup_per_s\",\"sharded\",\"warm\"],\"rows\":[["
            + "\"SERVICE\",\"/health\",120,\"3s\",12.0,KEYED,\"2s\"]]},\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
            + "\"idle_timeout\":\"15000ms\"}}")
        .replace("SERVICE", service)
        .replace("KIND", kind)
        .replace("TIMEOUT", timeout)
        .replace("KEYED", String.valueOf(keyed));
  }

  /** A script: returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  interface Case {
    int run(boolean trouble, Store store, EntryVm vm, Record record) throws Exception;
  }

  /**
   * Runs a script and ends with its status; the entry VM ends before.
   *
   * @param args folder for settings and logs, and the file of the record
   */
  static void run(String[] args, Case script) {
    int status = 2;
    EntryVm started = null;
    try {
      Record record = new Record(Path.of(args[1]));
      Store store = new Store();
      EntryVm vm = new EntryVm(Path.of(args[0]), "edge-1", store.server.getLocalPort());
      started = vm;
      Runtime.getRuntime().addShutdownHook(new Thread(vm::kill));
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      record.say("trouble " + trouble);
      status = script.run(trouble, store, vm, record);
    } catch (Exception e) {
      e.printStackTrace();
    }
    if (started != null) {
      started.kill();
    }
    Runtime.getRuntime().halt(status);
  }

  /** An entry VM, started by the run line of the deploy file. */
  static final class EntryVm {

    final String node;
    final int front;
    final int ready;
    final int peers;
    final int metrics;
    private final Path settings;
    private final Path log;
    private Process process;

    EntryVm(Path folder, String node, int storePort) throws IOException {
      this.node = node;
      front = freePort();
      ready = freePort();
      peers = freePort();
      metrics = freePort();
      settings = folder.resolve(node + ".json");
      log = folder.resolve(node + ".log");
      Files.writeString(
          settings,
          ("{\"node\":\"NODE\",\"processorShare\":0.6,\"linkMbps\":1000.0,\"firstStart\":true,"
                  + "\"dataCentre\":\"zone-a\",\"listen\":{\"callers\":\"127.0.0.1:FRONT\","
                  + "\"readiness\":\"127.0.0.1:READY\",\"peers\":\"127.0.0.1:PEERS\","
                  + "\"metricsPort\":METRICS},\"seeds\":[\"127.0.0.1:PEERS\"],"
                  + "\"store\":{\"address\":\"127.0.0.1:STORE\"},\"bounds\":{\"retryRatio\":0.2,"
                  + "\"retrySlack\":60,\"retryWindow\":\"10s\",\"coldRatio\":1.5,\"coldSlack\":5,"
                  + "\"maxHold\":\"10000ms\",\"drain\":\"2000ms\",\"stop\":\"6s\"}}")
              .replace("NODE", node)
              .replace("FRONT", String.valueOf(front))
              .replace("READY", String.valueOf(ready))
              .replace("PEERS", String.valueOf(peers))
              .replace("METRICS", String.valueOf(metrics))
              .replace("STORE", String.valueOf(storePort)));
    }

    void start() throws IOException {
      String runLine =
          Files.readAllLines(Path.of("deploy/system.toml")).stream()
              .filter(line -> line.startsWith("run = "))
              .findFirst()
              .orElseThrow();
      List<String> command =
          new ArrayList<>(
              Arrays.asList(
                  runLine.substring(runLine.indexOf('"') + 1, runLine.lastIndexOf('"')).split(" ")));
      command.set(command.indexOf("--settings") + 1, settings.toString());
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
    }

    boolean isAlive() {
      return process.isAlive();
    }

    void kill() {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(LOOPBACK, ready), 300);
        socket.setSoTimeout(500);
        socket
            .getOutputStream()
            .write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
        Message answer = readHead(new BufferedInputStream(socket.getInputStream()));
        return answer != null && answer.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Returns a meter as the program shows it; empty if it can't be read. */
    String meter(String name) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(LOOPBACK, metrics), 500);
        socket.setSoTimeout(2000);
        socket
            .getOutputStream()
            .write("GET /metrics HTTP/1.1\r\nHost: meters\r\n\r\n".getBytes());
        Message answer = read(new BufferedInputStream(socket.getInputStream()));
        String text = new String(answer.body, StandardCharsets.UTF_8);
        return text.lines().filter(line -> line.startsWith(name + " ")).findFirst().orElse("");
      } catch (IOException | RuntimeException e) {
        return "";
      }
    }

    boolean awaitReady(long forMs) {
      for (long untilMs = nowMs() + forMs; nowMs() < untilMs; sleep(100)) {
        if (isReady()) {
          return true;
        }
      }
      return false;
    }
  }

  /** Writes record.txt. */
  static final class Record {

    private final PrintWriter out;
    private final long beganMs = nowMs();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
      out.println("%8.3f %s".formatted((nowMs() - beganMs) / 1000.0, text));
    }

    synchronized void say(String text) {
      line(text);
      out.flush();
      System.out.println(text);
    }
  }
}
