import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound instance: runs up to its slots, queues a few, rejects the rest with Not-Executed, runs
 * keys only while it holds them, and signs what it ran. Subclasses change single steps.
 */
class InstanceStandIn implements AutoCloseable {

  private static final int QUEUE = 8;
  private static final int KEYS = 65536;

  final String id;
  final String service;
  final String zone;
  final int slots;
  final boolean keyed;
  final Record log;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private final long[] seenFences = new long[KEYS];
  private final long[] heldUntilMs = new long[KEYS];
  private final long[] holdEndsMs = new long[KEYS];
  private final int[] runningByKey = new int[KEYS];
  private final long bornMs = System.currentTimeMillis();
  private int sequence;

  InstanceStandIn(String id, String service, String zone, int slots, boolean keyed, Record log)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.keyed = keyed;
    this.log = log;
    listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
  }

  void start() {
    Thread thread = new Thread(this::accept, id);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the entry that the instance writes with each heartbeat. */
  String entry(String state) {
    return "{\"service\":" + Json.quote(service) + ",\"address\":" + Json.quote(address())
        + ",\"zone\":" + Json.quote(zone) + ",\"version\":\"v1\",\"slots\":" + slots
        + ",\"state\":" + Json.quote(state) + ",\"warmup_left\":\"0ms\",\"sequence\":"
        + ++sequence + ",\"born\":" + bornMs + "}";
  }

  /** Time that a request takes, in milliseconds. */
  long workMs(Http request) {
    return 50;
  }

  /** Body of the answer to a request that was run. */
  byte[] answerBody(Http request) {
    return ("ran " + request.header("Request-Id", "")).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns whether the instance rejects a request though it has room. */
  boolean sheds(Http request) {
    return false;
  }

  /** Answers a request that was run. */
  void answer(Http request, Connection connection, byte[] head, byte[] body) throws IOException {
    write(connection, head, body);
  }

  /** Reads the body of a request; returns false if the instance has ended the connection. */
  boolean receive(Http request, Connection connection) throws IOException {
    request.readBody(connection.in);
    return true;
  }

  /** Called with each request that the instance begins to run. */
  void onRun(Http request) {}

  /** Called after a rejection was written, with the connection on which it was. */
  void onRejected(Http request, byte[] answer, Connection connection) {}

  /** Called when a grant was accepted. */
  void onGranted(Http grant) {}

  /** Called when a release has arrived. */
  void beforeRelease(Http release, Connection connection) throws IOException {}

  /** Called after a release was answered, with the connection on which it was. */
  void onReleased(Http release, byte[] answer, Connection connection) {}

  /** Called before the answer to a request is due on a connection that a request has reached. */
  void beforeRequest(Http request, Connection connection) throws IOException {}

  final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;
    byte[] late;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        Thread thread = new Thread(() -> serve(socket), id + " connection");
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Connection connection = new Connection(socket);
      Http request = Http.readHead(connection.in);
      while (request != null && receive(request, connection)) {
        handle(request, connection);
        request = Http.readHead(connection.in);
      }
    } catch (IOException e) {
      log.line("%s: connection ended: %s", id, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(socket);
    }
  }

  private void handle(Http request, Connection connection)
      throws IOException, InterruptedException {
    if (!request.header("Target-Instance", id).equals(id)) {
      write(connection, head(421, request, "Not-Executed: 1\r\n", 0), new byte[0]);
    } else if (request.target().equals("/grant")) {
      boolean granted = grant(request);
      if (granted) {
        onGranted(request);
      }
      write(connection, head(granted ? 200 : 409, request, "", 2), "{}".getBytes());
    } else if (request.target().equals("/release")) {
      beforeRelease(request, connection);
      release(request);
      byte[] answer = head(200, request, "Handover: h" + id + "\r\n", 0);
      write(connection, answer, new byte[0]);
      onReleased(request, answer, connection);
    } else if (request.target().equals("/health")) {
      write(connection, head(200, request, "Instance-Id: " + id + "\r\n", 0), new byte[0]);
    } else {
      beforeRequest(request, connection);
      run(request, connection);
    }
  }

  private void run(Http request, Connection connection) throws IOException, InterruptedException {
    String requestId = request.header("Request-Id", "");
    int key = Integer.parseInt(request.header("Shard-Key", "0"));
    if (keyed && !begin(key)) {
      log.line("%s: rejected %s with 421, key %d is not held", id, requestId, key);
      write(connection, head(421, request, "Not-Executed: 1\r\n", 0), new byte[0]);
      return;
    }
    boolean full = running.incrementAndGet() > slots + QUEUE;
    try {
      if (full || sheds(request)) {
        log.line("%s: rejected %s with 503 Not-Executed", id, requestId);
        byte[] answer = head(503, request, "Not-Executed: 1\r\n", 0, slots + QUEUE);
        write(connection, answer, new byte[0]);
        onRejected(request, answer, connection);
        return;
      }
      log.line("%s: runs %s %s, body of %d bytes", id, requestId, request.target(),
          request.body.length);
      onRun(request);
      Thread.sleep(workMs(request));
      byte[] body = answerBody(request);
      String signature = "Response-Signature: " + id + "." + requestId + "\r\n";
      answer(request, connection, head(200, request, signature, body.length), body);
    } finally {
      running.decrementAndGet();
      if (keyed) {
        end(key);
      }
    }
  }

  private byte[] head(int status, Http request, String fields, int length) {
    return head(status, request, fields, length, running.get());
  }

  private byte[] head(int status, Http request, String fields, int length, int load) {
    String requestId = request.header("Request-Id", "");
    String text = "HTTP/1.1 " + status + " -\r\n"
        + (requestId.isEmpty() ? "" : "Request-Id: " + requestId + "\r\n")
        + "Instance-Load: " + Math.min(slots, load) + "," + Math.max(0, load - slots) + ","
        + slots + ",100\r\n"
        + "Keep-Alive: timeout=10\r\n" + fields + "Content-Length: " + length + "\r\n\r\n";
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  void write(Connection connection, byte[] head, byte[] body) throws IOException {
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    connection.out.write(all);
    connection.out.flush();
  }

  private synchronized boolean begin(int key) {
    if (heldUntilMs[key] <= nowMs()) {
      return false;
    }
    runningByKey[key]++;
    return true;
  }

  private synchronized void end(int key) {
    runningByKey[key]--;
    notifyAll();
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static long number(Object value) {
    return ((Number) value).longValue();
  }

  private synchronized boolean grant(Http request) {
    var body = Json.object(Json.parse(new String(request.body, StandardCharsets.UTF_8)));
    int from = (int) number(body.get("from"));
    int to = (int) number(body.get("to"));
    long fence = number(body.get("fence"));
    String hold = (String) body.get("hold_time");
    long untilMs = nowMs() + Long.parseLong(hold.substring(0, hold.length() - 2));
    for (int key = from; key <= to; key++) {
      if (seenFences[key] > fence) {
        return false;
      }
    }
    for (int key = from; key <= to; key++) {
      seenFences[key] = fence;
      heldUntilMs[key] = untilMs;
      holdEndsMs[key] = untilMs;
    }
    return true;
  }

  /** Returns a key of a range on which the instance is at work in a hold that goes on; or -1. */
  synchronized int keyAtWork(int from, int to) {
    for (int key = from; key <= to; key++) {
      if (runningByKey[key] > 0 && holdEndsMs[key] > nowMs()) {
        return key;
      }
    }
    return -1;
  }

  private synchronized void release(Http request) throws InterruptedException {
    var body = Json.object(Json.parse(new String(request.body, StandardCharsets.UTF_8)));
    int from = (int) number(body.get("from"));
    int to = (int) number(body.get("to"));
    for (int key = from; key <= to; key++) {
      seenFences[key] = Math.max(seenFences[key], number(body.get("fence")));
      heldUntilMs[key] = 0;
    }
    for (int key = from; key <= to; key++) {
      while (runningByKey[key] > 0) {
        wait();
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
