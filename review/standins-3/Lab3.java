import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins of the platform's store, of instances and of consumers, and the entry VMs as separate
 * processes, all on loopback addresses.
 */
final class Lab3 implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final long HEARTBEAT_MS = 870;
  private static final String HOST = "kitchen.example";
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;

  private final Path temporary;
  final Store store = new Store();
  final List<Instance> instances = new ArrayList<>();
  final List<EntryVm> vms = new ArrayList<>();
  private final PrintWriter record;
  private final long startedNs = System.nanoTime();
  private volatile boolean closed;

  /**
   * Starts the store.
   *
   * @param temporary folder for settings and logs of the entry VMs
   * @param folder folder of the case, for record.txt
   */
  Lab3(Path temporary, Path folder) throws IOException {
    this.temporary = temporary;
    this.record =
        new PrintWriter(
            Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    store.start();
  }

  /** Writes a line with the time since the start to record.txt. */
  void log(String line) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%9.3f %s%n", elapsedMs() / 1000.0, line);
    }
  }

  void say(String line) {
    log(line);
    System.out.printf(Locale.ROOT, "%9.3f %s%n", elapsedMs() / 1000.0, line);
  }

  double elapsedMs() {
    return (System.nanoTime() - startedNs) / 1e6;
  }

  static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a free port below those that the kernel gives to connections. */
  static int freePort() throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // another one
      }
    }
    throw new IOException("no free port");
  }

  /** Returns the beginning of the ids of a consumer's requests. */
  static String newIdPrefix(int vm, int number) {
    return String.format("%d%02d%08x", vm, number, System.nanoTime() & 0xffffffffL);
  }

  Connection connect(int vm) throws IOException {
    return connect(vm, 0);
  }

  /** Connects with a given size of the kernel's receive buffer; 0 for the kernel's own choice. */
  Connection connect(int vm, int receiveBufferBytes) throws IOException {
    return new Connection(vms.get(vm).callers, receiveBufferBytes);
  }

  /** Keeps the registrations of the instances up to date, as their heartbeats do. */
  void startHeartbeats() {
    Thread thread =
        new Thread(
            () -> {
              while (!closed) {
                instances.forEach(Instance::register);
                sleep(HEARTBEAT_MS);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  void startVm(String name, String zone) throws IOException {
    EntryVm vm = new EntryVm(name, zone);
    vms.add(vm);
    vm.start(true);
  }

  /** Waits until all entry VMs are ready; ends the case as one that couldn't run otherwise. */
  void awaitReady(long timeoutMs) {
    long untilMs = System.currentTimeMillis() + timeoutMs;
    for (EntryVm vm : vms) {
      while (!vm.isReady()) {
        if (System.currentTimeMillis() > untilMs || !vm.process.isAlive()) {
          say("couldn't run: " + vm.name + " is not ready");
          close();
          System.exit(2);
        }
        sleep(50);
      }
    }
  }

  private void endProcesses() {
    for (EntryVm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    endProcesses();
    synchronized (record) {
      record.flush();
    }
  }

  /** An entry VM as a process of its own, started with the command of the deploy file. */
  final class EntryVm {
    final String name;
    final String zone;
    final int callers = freePort();
    final int readiness = freePort();
    final int peers = freePort();
    Process process;

    EntryVm(String name, String zone) throws IOException {
      this.name = name;
      this.zone = zone;
    }

    void start(boolean firstStart) throws IOException {
      ObjectNode settings = JSON.createObjectNode();
      settings.put("node", name).put("processorShare", 0.6).put("linkMbps", 1000.0);
      settings.put("firstStart", firstStart).put("dataCentre", zone);
      settings
          .putObject("listen")
          .put("callers", "127.0.0.1:" + callers)
          .put("readiness", "127.0.0.1:" + readiness)
          .put("peers", "127.0.0.1:" + peers)
          .put("metricsPort", 0);
      ArrayNode seeds = settings.putArray("seeds");
      vms.forEach(vm -> seeds.add("127.0.0.1:" + vm.peers));
      settings.putObject("store").put("address", "127.0.0.1:" + store.port);
      settings
          .putObject("bounds")
          .put("retryRatio", 0.2)
          .put("retrySlack", 60)
          .put("retryWindow", "10s")
          .put("coldRatio", 1.5)
          .put("coldSlack", 5)
          .put("maxHold", "10000ms")
          .put("drain", "2000ms")
          .put("stop", "6s");
      Path file = temporary.resolve(name + ".json");
      Files.writeString(file, settings.toString());
      List<String> command = new ArrayList<>();
      for (String word : runLine().split(" ")) {
        command.add(word.equals("/etc/foxtailford/local.toml") ? file.toString() : word);
      }
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()))
              .start();
      log("started " + name + " pid " + process.pid() + " callers port " + callers);
    }

    private String runLine() throws IOException {
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      throw new IOException("deploy/system.toml has no run line");
    }

    boolean isReady() {
      try (Connection connection = new Connection(readiness, 0)) {
        connection.send("GET", "/readiness", "ready", 1000, "");
        return connection.receive(1000).status == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void signal(String signal) throws IOException {
      log("SIG" + signal + " to " + name);
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Answer as a consumer receives it. */
  static final class Answer {
    int status;
    final Map<String, String> headers = new HashMap<>();

    boolean closesConnection() {
      return "close".equalsIgnoreCase(headers.get("connection"));
    }
  }

  /** Consumer's connection; requests may be sent before earlier ones are answered. */
  static final class Connection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    Connection(int port, int receiveBufferBytes) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      if (receiveBufferBytes > 0) {
        socket.setReceiveBufferSize(receiveBufferBytes);
      }
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
      in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
      out = new BufferedOutputStream(socket.getOutputStream(), 16 << 10);
    }

    void send(String method, String path, String id, long deadlineMs, String body)
        throws IOException {
      String length = method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "";
      String head =
          "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n"
              .formatted(method, path, HOST, id, deadlineMs, length);
      out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    Answer receive(int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs);
      Answer answer = new Answer();
      String line = readLine(in);
      answer.status = Integer.parseInt(line.split(" ")[1]);
      readHeaders(in, answer.headers);
      readBody(in, answer.headers);
      return answer;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("closed after " + line.size() + " bytes of a line");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
  }

  static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if ("chunked".equals(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
        body.write(readFully(in, size));
        readLine(in);
        if (size == 0) {
          return body.toByteArray();
        }
      }
    }
    return readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("closed after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  /** Request as an instance receives it. */
  record Request(String path, Map<String, String> headers) {
    String id() {
      return headers.getOrDefault("request-id", "");
    }
  }

  /**
   * What an instance does with a request.
   *
   * @param ms time until the answer begins, in milliseconds
   * @param streamMs time from the begin of the answer to its end, in milliseconds
   */
  record Work(long ms, int answerBytes, long streamMs) {

    Work(long ms, int answerBytes) {
      this(ms, answerBytes, 0);
    }
  }

  /** Decides what an instance does with a request. */
  interface Worker {
    Work workOn(Request request);
  }

  /** An instance that registers itself and runs a bounded number of requests at a time. */
  final class Instance {
    final String id;
    final String service;
    final String zone;
    final Worker worker;
    final long bornMs = System.currentTimeMillis();
    final Map<String, String> runs = new ConcurrentHashMap<>();
    private final ServerSocket server;
    private final Semaphore running = new Semaphore(SLOTS, true);
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong active = new AtomicLong();

    Instance(String id, String service, String zone, Worker worker) throws IOException {
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.worker = worker;
      this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
      instances.add(this);
      Thread thread = new Thread(this::acceptAll, id);
      thread.setDaemon(true);
      thread.start();
    }

    void register() {
      ObjectNode entry = JSON.createObjectNode();
      entry.put("service", service).put("address", "127.0.0.1:" + server.getLocalPort());
      entry.put("zone", zone).put("version", "v1").put("slots", SLOTS).put("state", "ready");
      entry.put("warmup_left", "0ms").put("sequence", sequence.incrementAndGet());
      entry.put("born", bornMs);
      store.put("servers", id, entry.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void acceptAll() {
      while (true) {
        try {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          Thread thread = new Thread(() -> serve(socket), id + " connection");
          thread.setDaemon(true);
          thread.start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
        OutputStream out = socket.getOutputStream();
        while (true) {
          String[] line = readLine(in).split(" ");
          Map<String, String> headers = new HashMap<>();
          readHeaders(in, headers);
          readBody(in, headers);
          Request request = new Request(line[1], headers);
          answer(request, out);
        }
      } catch (IOException e) {
        // the connection has ended
      }
    }

    private void answer(Request request, OutputStream out) throws IOException {
      String target = request.headers().get("target-instance");
      if (target != null && !target.equals(id)) {
        write(out, request, 421, "Not-Executed: 1\r\n", new byte[0], 0);
      } else if (request.path().equals("/health")) {
        write(out, request, 200, "Instance-Id: " + id + "\r\n", new byte[0], 0);
      } else if (active.get() >= SLOTS + QUEUE) {
        write(out, request, 503, "Not-Executed: 1\r\n", new byte[0], 0);
      } else {
        run(request, out);
      }
    }

    private void run(Request request, OutputStream out) throws IOException {
      active.incrementAndGet();
      running.acquireUninterruptibly();
      Work work = worker.workOn(request);
      try {
        runs.put(request.id(), "begun");
        log("run " + request.id() + " at " + id);
        sleep(work.ms());
      } finally {
        running.release();
        active.decrementAndGet();
      }
      byte[] body = new byte[work.answerBytes()];
      Arrays.fill(body, (byte) 'a');
      String signature = "Response-Signature: 3e1b." + request.id() + "\r\n";
      int sent = work.streamMs() > 0 ? body.length / 2 : body.length;
      write(out, request, 200, signature, Arrays.copyOf(body, sent), body.length);
      long pieces = work.streamMs() / 50;
      for (long piece = 1; piece <= pieces; piece++) {
        sleep(50);
        int end = body.length / 2 + (int) (piece * (body.length - body.length / 2) / pieces);
        out.write(body, sent, end - sent);
        sent = end;
      }
      runs.put(request.id(), "answered");
    }

    private void write(
        OutputStream out, Request request, int status, String fields, byte[] body, int length)
        throws IOException {
      String head =
          "HTTP/1.1 "
              + status
              + " X\r\n"
              + (request.id().isEmpty() ? "" : "Request-Id: " + request.id() + "\r\n")
              + ("Instance-Load: " + active.get() + ",0," + SLOTS + ",100\r\n")
              + "Keep-Alive: timeout=10\r\n"
              + fields
              + ("Content-Length: " + length + "\r\n\r\n");
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
      bytes.write(body);
      out.write(bytes.toByteArray());
      out.flush();
    }
  }

  /** The platform's store: rows with versions, conditional transactions, and feeds. */
  static final class Store {
    private record Row(byte[] value, long version, boolean deleted) {}

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version = 1;
    private static final int MAX_ROW_BYTES = 65536;
    int port;

    void start() throws IOException {
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
      server.setExecutor(
          Executors.newCachedThreadPool(
              task -> {
                Thread thread = new Thread(task, "store");
                thread.setDaemon(true);
                return thread;
              }));
      server.createContext("/", this::handle);
      server.start();
      port = server.getAddress().getPort();
    }

    synchronized void put(String table, String key, byte[] value) {
      tables
          .computeIfAbsent(table, name -> new TreeMap<>())
          .put(key, new Row(value, ++version, false));
      notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String part : raw == null ? new String[0] : raw.split("&")) {
        String[] pair = part.split("=", 2);
        query.put(
            pair[0],
            java.net.URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
      }
      int status = 200;
      ObjectNode answer = JSON.createObjectNode();
      switch (exchange.getRequestURI().getPath()) {
        case "/rows-get":
          get(query, answer);
          break;
        case "/rows-feed":
          feed(query, answer);
          break;
        case "/rows-tx":
          status = transact(JSON.readTree(body), answer);
          break;
        default:
          status = 404;
      }
      byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    }

    private void addState(ObjectNode answer) {
      answer.put("resource_version", version).put("now", System.nanoTime() / 1_000_000 + "ms");
    }

    private synchronized void get(Map<String, String> query, ObjectNode answer) {
      ArrayNode rows = answer.putArray("rows");
      boolean more = false;
      int bytes = 0;
      String table = query.get("table");
      for (Map.Entry<String, Row> row :
          tables
              .getOrDefault(table, new TreeMap<>())
              .tailMap(query.getOrDefault("from", ""), true)
              .entrySet()) {
        if (!row.getValue().deleted()) {
          bytes += row.getValue().value().length * 4 / 3 + 200;
          if (rows.size() == 500 || bytes > 1_000_000 && rows.size() > 0) {
            more = true;
            break;
          }
          add(rows, table, row.getKey(), row.getValue());
        }
      }
      answer.put("has_more", more);
      addState(answer);
    }

    private synchronized void feed(Map<String, String> query, ObjectNode answer) {
      long after = Long.parseLong(query.getOrDefault("after", "0"));
      long untilMs =
          System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      String table = query.get("table");
      ArrayNode rows = answer.putArray("rows");
      while (true) {
        tables.getOrDefault(table, new TreeMap<>()).entrySet().stream()
            .filter(row -> row.getValue().version() > after)
            .sorted((a, b) -> Long.compare(a.getValue().version(), b.getValue().version()))
            .forEach(row -> add(rows, table, row.getKey(), row.getValue()));
        long leftMs = untilMs - System.currentTimeMillis();
        if (rows.size() > 0 || leftMs <= 0) {
          break;
        }
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          break;
        }
      }
      answer.put("has_more", false);
      addState(answer);
    }

    private static void add(ArrayNode rows, String table, String key, Row row) {
      ObjectNode node = rows.addObject().put("table", table).put("part", "").put("key", key);
      node.put("resource_version", row.version());
      if (row.deleted()) {
        node.put("deleted", true);
      } else {
        node.put("value", Base64.getEncoder().encodeToString(row.value()));
      }
    }

    private synchronized int transact(JsonNode body, ObjectNode answer) {
      for (JsonNode expected : body.path("expect")) {
        Row row = find(expected);
        long present = row == null || row.deleted() ? 0 : row.version();
        if (present != expected.path("resource_version").asLong()) {
          answer.putArray("rows");
          addState(answer);
          return 412;
        }
      }
      for (JsonNode put : body.path("puts")) {
        if (Base64.getDecoder().decode(put.path("value").asText()).length > MAX_ROW_BYTES) {
          return 400;
        }
      }
      version++;
      for (JsonNode put : body.path("puts")) {
        byte[] value = Base64.getDecoder().decode(put.path("value").asText());
        tables
            .computeIfAbsent(put.path("table").asText(), name -> new TreeMap<>())
            .put(put.path("key").asText(), new Row(value, version, false));
      }
      for (JsonNode removed : body.path("remove")) {
        tables
            .computeIfAbsent(removed.path("table").asText(), name -> new TreeMap<>())
            .put(removed.path("key").asText(), new Row(new byte[0], version, true));
      }
      notifyAll();
      addState(answer);
      return 200;
    }

    private Row find(JsonNode id) {
      return tables
          .getOrDefault(id.path("table").asText(), new TreeMap<>())
          .get(id.path("key").asText());
    }
  }

  /** A route of the operators' configuration. */
  record Route(
      String name, String prefix, String kind, String timeout, String target, String service) {}

  /** Writes a configuration as the operators do. */
  void configure(int number, List<Route> routes, List<String> services) {
    ObjectNode body = JSON.createObjectNode().put("version", "r" + number);
    ObjectNode routeTable = body.putObject("routes");
    addAll(
        routeTable.putArray("columns"),
        "name",
        "host",
        "prefix",
        "kind",
        "timeout",
        "target_latency",
        "priority",
        "max_attempts",
        "service");
    ArrayNode routeRows = routeTable.putArray("rows");
    for (Route route : routes) {
      ArrayNode row = routeRows.addArray();
      addAll(
          row,
          route.name(),
          HOST,
          route.prefix(),
          route.kind(),
          route.timeout(),
          route.target());
      row.add(1).add(2).add(route.service());
    }
    ObjectNode serviceTable = body.putObject("services");
    addAll(
        serviceTable.putArray("columns"),
        "name",
        "health_check_path",
        "max_connections",
        "protocol",
        "tls",
        "warmup",
        "warmup_per_s");
    ArrayNode serviceRows = serviceTable.putArray("rows");
    for (String service : services) {
      ArrayNode row = serviceRows.addArray();
      row.add(service).add("/health").add(120).add("h1").add(false).add("3s").add(12.0);
    }
    body.putObject("limits")
        .put("max_header_bytes", 16384)
        .put("max_body_bytes", 67108864)
        .put("header_timeout", "3000ms")
        .put("idle_timeout", "15000ms");
    store.put("op", "config", body.toString().getBytes(StandardCharsets.UTF_8));
    log("configuration r" + number + " acknowledged");
  }

  private static void addAll(ArrayNode array, String... values) {
    for (String value : values) {
      array.add(value);
    }
  }
}
