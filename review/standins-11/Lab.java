import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
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
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Store, instances and helpers of the cases, which speak as the users' pages say. */
final class Lab {

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final Set<Integer> taken = ConcurrentHashMap.newKeySet();
  private static PrintWriter record;
  private static long startNs = System.nanoTime();

  private Lab() {}

  static void openRecord(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static long nowMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  static synchronized void note(String format, Object... args) {
    String line = String.format(Locale.ROOT, "%7d ms  ", nowMs()) + String.format(Locale.ROOT, format, args);
    if (record != null) {
      record.println(line);
    }
  }

  /** Returns a free port below those that the kernel gives to outgoing connections. */
  static int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      if (taken.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
          return socket.getLocalPort();
        } catch (BindException e) {
          // taken by another process
        }
      }
    }
    throw new IOException("no free port");
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Closes a connection with a reset. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // closed before
    }
  }

  static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // closed before
    }
  }

  /** Head of a message: its first line and its fields by lower-case name. */
  static final class Head {
    String first = "";
    final Map<String, String> fields = new LinkedHashMap<>();

    String get(String name, String fallback) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), fallback);
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("connection ended within a line after " + line.size() + " bytes");
      }
      line.write(b);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Reads a head; returns null if the connection ends before it. */
  static Head readHead(InputStream in) throws IOException {
    in.mark(1);
    if (in.read() < 0) {
      return null;
    }
    in.reset();
    Head head = new Head();
    head.first = readLine(in);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      head.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return head;
  }

  static byte[] readBytes(InputStream in, long count) throws IOException {
    byte[] bytes = new byte[(int) count];
    int done = 0;
    while (done < bytes.length) {
      int read = in.read(bytes, done, bytes.length - done);
      if (read < 0) {
        throw new EOFException("connection ended after " + done + " of " + count + " bytes");
      }
      done += read;
    }
    return bytes;
  }

  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.get("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
        if (size == 0) {
          while (!readLine(in).isEmpty()) {
            // trailers
          }
          return body.toByteArray();
        }
        body.write(readBytes(in, size));
        if (!readLine(in).isEmpty()) {
          throw new IOException("no end of a chunk");
        }
      }
    }
    return readBytes(in, Long.parseLong(head.get("content-length", "0")));
  }

  /** Handles one request of a connection; returns whether the connection stays open. */
  interface Handler {
    boolean handle(Head head, InputStream in, OutputStream out, Socket socket) throws IOException;
  }

  /** Server on the loopback address with a thread for each connection. */
  static final class Server {
    final ServerSocket listener;

    Server(Handler handler) throws IOException {
      listener = new ServerSocket(0, 256, LOOPBACK);
      daemon("server", () -> accept(handler));
    }

    int port() {
      return listener.getLocalPort();
    }

    private void accept(Handler handler) {
      try {
        while (true) {
          Socket socket = listener.accept();
          daemon("connection", () -> serve(socket, handler));
        }
      } catch (IOException e) {
        // closed
      }
    }

    private static void serve(Socket socket, Handler handler) {
      try {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
        OutputStream out = socket.getOutputStream();
        for (Head head = readHead(in); head != null; head = readHead(in)) {
          if (!handler.handle(head, in, out, socket)) {
            break;
          }
        }
      } catch (IOException e) {
        // the other side has closed
      } finally {
        close(socket);
      }
    }
  }

  static void writeAnswer(OutputStream out, int status, Map<String, String> fields, byte[] body) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
    fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.write(body);
    out.write(all.toByteArray());
    out.flush();
  }

  /** The platform's metadata store. */
  static final class Store {
    private static final class Row {
      String value;
      long version;
      boolean deleted;
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version = 1;
    final Server server;

    /** Longest value of a row, in bytes: `row_bytes` of the platform. */
    int rowBytes = 65_536;
    int refusedWrites;

    Store() throws IOException {
      server = new Server(this::handle);
    }

    int port() {
      return server.port();
    }

    synchronized void put(String table, String key, String json) {
      store(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false, ++version);
    }

    synchronized void remove(String table, String key) {
      store(table, key, "", true, ++version);
    }

    synchronized boolean has(String table, String key) {
      Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
      return row != null && !row.deleted;
    }

    private void store(String table, String key, String value, boolean deleted, long at) {
      Row row = new Row();
      row.value = value;
      row.version = at;
      row.deleted = deleted;
      tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, row);
      notifyAll();
    }

    private boolean handle(Head head, InputStream in, OutputStream out, Socket socket) throws IOException {
      byte[] body = readBody(in, head);
      String[] target = head.first.split(" ")[1].split("\\?", 2);
      Map<String, String> query = new HashMap<>();
      if (target.length > 1) {
        for (String pair : target[1].split("&")) {
          String[] parts = pair.split("=", 2);
          query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
      }
      sleep(4);
      int status = 200;
      String answer;
      if (target[0].equals("/rows-get")) {
        answer = rows(query.get("table"), 0, query.getOrDefault("from", ""), false);
      } else if (target[0].equals("/rows-feed")) {
        answer = feed(query.get("table"), Long.parseLong(query.get("after")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
      } else if (target[0].equals("/rows-tx")) {
        Object call = new Json(new String(body, StandardCharsets.UTF_8)).value();
        int longest = longestValue(call);
        answer = longest > rowBytes ? "{}" : transact(call);
        status = longest > rowBytes ? 400 : answer == null ? 412 : 200;
        answer = answer == null ? "{\"rows\":[]}" : answer;
        if (longest > rowBytes && refusedWrites++ % 20 == 0) {
          note("store refuses a row of %d bytes; row_bytes is %d", longest, rowBytes);
        }
      } else {
        status = 404;
        answer = "{}";
      }
      writeAnswer(out, status, Map.of("Content-Type", "application/json"), answer.getBytes(StandardCharsets.UTF_8));
      return true;
    }

    private synchronized String rows(String table, long after, String from, boolean tombstones) {
      StringBuilder text = new StringBuilder();
      tables.getOrDefault(table, new TreeMap<>()).tailMap(from).forEach((key, row) -> {
        if (row.version > after && (tombstones || !row.deleted)) {
          text.append(text.length() == 0 ? "" : ",").append("{\"table\":\"").append(table)
              .append("\",\"part\":\"\",\"key\":\"").append(key).append("\",\"resource_version\":").append(row.version)
              .append(row.deleted ? ",\"deleted\":true}" : ",\"value\":\"" + row.value + "\"}");
        }
      });
      return "{\"rows\":[" + text + "],\"has_more\":false," + versionFields() + "}";
    }

    private String versionFields() {
      return "\"resource_version\":" + version + ",\"now\":\"" + nowMs() + "ms\"";
    }

    private synchronized String feed(String table, long after, long waitMs) {
      long untilMs = nowMs() + waitMs;
      while (true) {
        boolean changed = tables.getOrDefault(table, new TreeMap<>()).values().stream().anyMatch(row -> row.version > after);
        long leftMs = untilMs - nowMs();
        if (changed || leftMs <= 0) {
          return rows(table, after, "", true);
        }
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return rows(table, after, "", true);
        }
      }
    }

    @SuppressWarnings("unchecked")
    private static int longestValue(Object parsed) {
      int longest = 0;
      for (Object put : (List<Object>) ((Map<String, Object>) parsed).getOrDefault("puts", List.of())) {
        longest = Math.max(longest, Base64.getDecoder().decode((String) ((Map<String, Object>) put).get("value")).length);
      }
      return longest;
    }

    /** Returns the length of a row's value in bytes; 0 if there is none. */
    synchronized int valueBytes(String table, String key) {
      Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
      return row == null ? 0 : Base64.getDecoder().decode(row.value).length;
    }

    synchronized List<String> tableNames() {
      return new ArrayList<>(tables.keySet());
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(Object parsed) {
      Map<String, Object> call = (Map<String, Object>) parsed;
      for (Object entry : (List<Object>) call.getOrDefault("expect", List.of())) {
        Map<String, Object> expected = (Map<String, Object>) entry;
        Row row = tables.getOrDefault(expected.get("table"), new TreeMap<>()).get(expected.get("key"));
        long current = row == null || row.deleted ? 0 : row.version;
        if (current != ((Double) expected.get("resource_version")).longValue()) {
          return null;
        }
      }
      long at = ++version;
      for (Object entry : (List<Object>) call.getOrDefault("puts", List.of())) {
        Map<String, Object> put = (Map<String, Object>) entry;
        store((String) put.get("table"), (String) put.get("key"), (String) put.get("value"), false, at);
      }
      for (Object entry : (List<Object>) call.getOrDefault("remove", List.of())) {
        Map<String, Object> removed = (Map<String, Object>) entry;
        store((String) removed.get("table"), (String) removed.get("key"), "", true, at);
      }
      return "{" + versionFields() + "}";
    }
  }

  /** Reader of JSON values: maps, lists, texts, doubles, booleans and null. */
  static final class Json {
    private final String text;
    private int at;

    Json(String text) {
      this.text = text;
    }

    Object value() {
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
          String key = (String) value();
          skip();
          at++; // colon
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
        StringBuilder string = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
          if (text.charAt(at) == '\\') {
            at++;
            char escaped = text.charAt(at);
            if (escaped == 'u') {
              string.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
              at += 4;
            } else {
              string.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
            }
          } else {
            string.append(text.charAt(at));
          }
        }
        at++;
        return string.toString();
      }
      int begin = at;
      while (at < text.length() && "+-.0123456789eEtrufalsn".indexOf(text.charAt(at)) >= 0) {
        at++;
      }
      String word = text.substring(begin, at);
      return word.equals("true") ? (Object) true : word.equals("false") ? (Object) false
          : word.equals("null") ? null : (Object) Double.valueOf(word);
    }

    private void skip() {
      while (Character.isWhitespace(text.charAt(at))) {
        at++;
      }
    }
  }

  /** Registration of an instance that started long ago. */
  static String registration(String service, int port, String zone, int slots, String state, long born) {
    return String.format(Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
            + "\"warmup_left\":\"0ms\",\"sequence\":1,\"born\":%d}",
        service, port, zone, slots, state, born);
  }

  /** A program of the deploy file, started with its run line and settings of its own. */
  static final class EntryVm {
    final String node;
    final String zone;
    final int callers = freePort();
    final int readiness = freePort();
    final int peers = freePort();
    final int metrics = freePort();
    final Path settings;
    final Path log;
    Process process;

    EntryVm(String node, String zone, Path folder) throws IOException {
      this.node = node;
      this.zone = zone;
      settings = folder.resolve(node + ".json");
      log = folder.resolve(node + ".log");
    }

    void writeSettings(int storePort, List<Integer> seeds, boolean first) throws IOException {
      StringBuilder seedList = new StringBuilder();
      seeds.forEach(port -> seedList.append(seedList.length() == 0 ? "" : ",").append("\"127.0.0.1:" + port + "\""));
      Files.writeString(settings, String.format(Locale.ROOT,
          "{\"node\":\"%s\",\"processorShare\":0.6,\"linkMbps\":1000.0,\"firstStart\":%s,\"dataCentre\":\"%s\","
              + "\"listen\":{\"callers\":\"127.0.0.1:%d\",\"readiness\":\"127.0.0.1:%d\",\"peers\":\"127.0.0.1:%d\",\"metricsPort\":%d},"
              + "\"seeds\":[%s],\"store\":{\"address\":\"127.0.0.1:%d\"},"
              + "\"bounds\":{\"retryRatio\":0.2,\"retrySlack\":60,\"retryWindow\":\"10s\",\"coldRatio\":1.5,\"coldSlack\":5,"
              + "\"maxHold\":\"10000ms\",\"drain\":\"2000ms\",\"stop\":\"6s\"}}",
          node, first, zone, callers, readiness, peers, metrics, seedList, storePort));
    }

    void start() throws IOException {
      String line = Files.readAllLines(Path.of("deploy/system.toml")).stream().filter(l -> l.startsWith("run = ")).findFirst().get();
      String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).replace("/etc/foxtailford/local.toml", settings.toString());
      process = new ProcessBuilder(run.split(" +"))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
          .start();
      started.add(process);
    }

    boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(LOOPBACK, readiness), 300);
        socket.setSoTimeout(500);
        socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        Head head = readHead(new BufferedInputStream(socket.getInputStream()));
        return head != null && head.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void awaitReady(long timeoutMs) {
      long untilMs = nowMs() + timeoutMs;
      while (!isReady()) {
        if (nowMs() > untilMs || !process.isAlive()) {
          throw new IllegalStateException(node + " is not ready");
        }
        sleep(100);
      }
    }

    void signal(String name) throws IOException {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    Socket connect() throws IOException {
      return connect(0);
    }

    /** Connects a consumer, with a small receive buffer if its size is given. */
    Socket connect(int receiveBytes) throws IOException {
      Socket socket = new Socket();
      if (receiveBytes > 0) {
        socket.setReceiveBufferSize(receiveBytes);
      }
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, callers), 1000);
      return socket;
    }
  }

  private static final List<Process> started = new ArrayList<>();

  static void endAll() {
    for (Process process : started) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  static Path temporaryFolder() throws IOException {
    Path folder = Files.createTempDirectory("foxtailford-case");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      endAll();
      if (System.getenv("KEEP_LOGS") != null) {
        System.err.println("logs in " + folder);
        return;
      }
      File[] files = folder.toFile().listFiles();
      for (File file : files == null ? new File[0] : files) {
        file.delete();
      }
      folder.toFile().delete();
    }));
    return folder;
  }

  /** A configuration of routes on the host {@code app.example}, one for each service. */
  static String configuration(int version, List<String> routeRows, List<String> serviceRows) {
    return "{\"version\":\"r" + version + "\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\",\"target_latency\","
        + "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[" + String.join(",", routeRows) + "]},"
        + "\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\",\"warmup\",\"warmup_per_s\","
        + "\"sharded\",\"warm\",\"grants\"],\"rows\":[" + String.join(",", serviceRows) + "]},"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
  }

  static String route(String name, String kind, int timeoutMs, int targetMs, int attempts, String service) {
    return String.format(Locale.ROOT, "[\"%s\",\"app.example\",\"/%s/\",\"%s\",\"%dms\",\"%dms\",1,null,%d,\"%s\"]",
        name, name, kind, timeoutMs, targetMs, attempts, service);
  }

  static String service(String name, int connections, boolean sharded) {
    return String.format(Locale.ROOT, "[\"%s\",\"/health\",%d,\"h1\",false,\"3s\",12.0,%s,%s,%s]",
        name, connections, sharded ? "true" : "null", sharded ? "\"2s\"" : "null", sharded ? "\"direct_call\"" : "null");
  }
}
