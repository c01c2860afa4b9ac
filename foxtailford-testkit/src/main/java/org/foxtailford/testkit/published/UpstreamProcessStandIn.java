package org.foxtailford.testkit.published;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.schema.Endpoint;

/**
 * Stand-in for an upstream: accepts grants and releases, reports its load, signs its responses and
 * rejects requests for keys that it does not hold. Thread-safe.
 */
public final class UpstreamProcessStandIn implements HttpExchangeHandler, AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final EventLoopGroup loops;
  private final String id;
  private final boolean keyed;
  private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
  private final List<Long> pausedAtMs = new CopyOnWriteArrayList<>();
  private final List<HeldGrant> heldGrants = new ArrayList<>();
  private volatile UpstreamBehaviour behaviour = UpstreamBehaviour.NORMAL;
  private volatile long serviceTimeMs = 5;
  private final List<Long> arrivedAtMs = new CopyOnWriteArrayList<>();
  private final Map<String, String> furtherFields = new ConcurrentHashMap<>();
  private volatile String limit = "";
  private volatile String fatalPath = "";
  private volatile Runnable restartListener = () -> {};
  private volatile Consumer<HttpExchange> requestListener = exchange -> {};
  private volatile long restartDelayMs;
  private final AtomicInteger ends = new AtomicInteger();
  private final AtomicBoolean running = new AtomicBoolean(true);
  private volatile HttpServer server;
  private volatile long bornMs = 1_700_000_000_000L;
  private int port;

  private record HeldGrant(int from, int to, long fence, long expiryMs) {}

  /**
   * Creates an upstream.
   *
   * @param loops run the server and the delayed answers
   * @param id id of the upstream
   * @param keyed whether it runs only requests for keys that it holds
   */
  public UpstreamProcessStandIn(EventLoopGroup loops, String id, boolean keyed) {
    this.loops = Assert.notNull(loops, "loops");
    this.id = Assert.hasLength(id, "id");
    this.keyed = keyed;
    this.server = newServer();
  }

  private HttpServer newServer() {
    return new HttpServer(loops, new HttpLimits(8 << 10, 2 << 20), this);
  }

  /** Starts the server on a free port of the loopback address and returns this upstream. */
  public UpstreamProcessStandIn start() {
    port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").setPort(0).build());
    return this;
  }

  /**
   * Returns the JSON row with which the upstream registers itself.
   *
   * @param service service that it belongs to
   * @param dataCentre data centre that it runs in
   * @param state {@code ready} or {@code draining}
   */
  public String registration(String service, String dataCentre, String state) {
    return MAPPER
        .createObjectNode()
        .put("service", service)
        .put("address", "127.0.0.1:" + port)
        .put("zone", dataCentre)
        .put("version", "v1")
        .put("slots", 4)
        .put("state", state)
        .put("warmup_left", "0ms")
        .put("sequence", 1)
        .put("born", bornMs)
        .toString();
  }

  /** Returns the port at which the upstream listens. */
  public int port() {
    return port;
  }

  /** Returns the id of the upstream. */
  public String id() {
    return id;
  }

  /** Sets how later requests are handled. */
  public void setBehaviour(UpstreamBehaviour newBehaviour) {
    behaviour = Assert.notNull(newBehaviour, "newBehaviour");
  }

  /** Sets the time from a request to its answer, in milliseconds. */
  public void setServiceTimeMs(long newServiceTimeMs) {
    serviceTimeMs = newServiceTimeMs;
  }

  /** Makes the process name a limit in its answers; an empty text ends that. */
  public void nameLimit(String newLimit) {
    limit = Assert.notNull(newLimit, "newLimit");
  }

  /** Adds a field to the answers of requests from now on. */
  public void addToAnswers(String name, String value) {
    furtherFields.put(name, value);
  }

  /** Returns when requests arrived, rejected ones included, in Unix milliseconds. */
  public List<Long> arrivedAtMs() {
    return List.copyOf(arrivedAtMs);
  }

  /**
   * Makes the process end under each request whose path begins with a text, and start again later
   * as another incarnation.
   *
   * @param restartDelayMs time from the end to the start, in milliseconds
   * @param onRestart called after the start
   */
  public void endUnder(String path, long newRestartDelayMs, Runnable onRestart) {
    restartDelayMs = newRestartDelayMs;
    restartListener = Assert.notNull(onRestart, "onRestart");
    fatalPath = Assert.hasLength(path, "path");
  }

  /** Sets what is called with each request that arrives, commands excluded. */
  public void setRequestListener(Consumer<HttpExchange> newRequestListener) {
    requestListener = Assert.notNull(newRequestListener, "newRequestListener");
  }

  /** Returns how many times the process has ended. */
  public int ends() {
    return ends.get();
  }

  /** Closes all connections and stops listening once, as the end of a process does. */
  private void endProcess() {
    if (running.compareAndSet(true, false)) {
      ends.incrementAndGet();
      new Thread(this::restart, "restart of " + id).start(); // closing waits for the event loops
    }
  }

  private void restart() {
    server.close();
    try {
      TimeUnit.MILLISECONDS.sleep(restartDelayMs);
      startProcess();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startProcess() {
    bornMs++;
    synchronized (this) {
      heldGrants.clear();
    }
    server = newServer();
    running.set(true);
    server.bind(Endpoint.newBuilder().setHost("127.0.0.1").setPort(port).build());
    restartListener.run();
  }

  /** Returns how many times each request was run, by request id. */
  public Map<String, Integer> runCounts() {
    return Map.copyOf(runCounts);
  }

  /** Returns when requests were rejected with a pause, in Unix milliseconds. */
  public List<Long> pausedAtMs() {
    return List.copyOf(pausedAtMs);
  }

  /** Returns whether a grant for a key is in force. */
  public synchronized boolean holds(int key) {
    long nowMs = System.currentTimeMillis();
    return heldGrants.stream().anyMatch(h -> h.from <= key && key <= h.to && h.expiryMs > nowMs);
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    if (!running.get()) {
      return new CompletableFuture<>(); // its connection is about to be closed
    }
    String target = exchange.headers().get("Target-Instance");
    if (target != null && !target.equals(id)) {
      return completed(newAnswer(421, new DefaultHttpHeaders().set("Instance-Id", id), ""));
    }
    switch (exchange.path()) {
      case "/grant":
        return completed(handleGrant(exchange.body()));
      case "/release":
        return completed(handleRelease(exchange.body()));
      default:
        return runRequest(exchange);
    }
  }

  private synchronized HttpAnswer handleGrant(byte[] bytes) {
    try {
      JsonNode body = MAPPER.readTree(bytes);
      int from = body.path("from").asInt();
      int to = body.path("to").asInt();
      long fence = body.path("fence").asLong();
      if (heldGrants.stream().anyMatch(h -> h.from <= to && from <= h.to && h.fence > fence)) {
        return HttpAnswer.json(409, "{}");
      }
      String grantTtl = body.path("hold_time").asText();
      long grantTtlMs = Long.parseLong(grantTtl.substring(0, grantTtl.length() - 2));
      heldGrants.add(new HeldGrant(from, to, fence, System.currentTimeMillis() + grantTtlMs));
      return HttpAnswer.json(200, "{}");
    } catch (IOException e) {
      return HttpAnswer.json(400, "{}");
    }
  }

  private synchronized HttpAnswer handleRelease(byte[] bytes) {
    try {
      JsonNode body = MAPPER.readTree(bytes);
      int from = body.path("from").asInt();
      int to = body.path("to").asInt();
      List<HeldGrant> remaining = new ArrayList<>();
      for (HeldGrant heldGrant : heldGrants) {
        if (heldGrant.from < from) {
          remaining.add(
              new HeldGrant(
                  heldGrant.from,
                  Math.min(heldGrant.to, from - 1),
                  heldGrant.fence,
                  heldGrant.expiryMs));
        }
        if (heldGrant.to > to) {
          remaining.add(
              new HeldGrant(
                  Math.max(heldGrant.from, to + 1),
                  heldGrant.to,
                  heldGrant.fence,
                  heldGrant.expiryMs));
        }
      }
      // Already expired; it keeps the fence, so that grants with an earlier one are rejected.
      remaining.add(new HeldGrant(from, to, body.path("fence").asLong(), 0));
      heldGrants.clear();
      heldGrants.addAll(remaining);
      return newAnswer(200, new DefaultHttpHeaders().set("Handover", "h-" + id), "");
    } catch (IOException e) {
      return HttpAnswer.json(400, "{}");
    }
  }

  private CompletableFuture<HttpAnswer> runRequest(HttpExchange exchange) {
    HttpHeaders headers = new DefaultHttpHeaders();
    furtherFields.forEach(headers::set);
    String requestId = exchange.headers().get("Request-Id", "");
    headers.set("Request-Id", requestId).set("Instance-Load", "1,0,4,100").set("Instance-Id", id);
    arrivedAtMs.add(System.currentTimeMillis());
    requestListener.accept(exchange);
    if (!limit.isEmpty()) {
      headers.set("Server-Limit", limit);
    }
    if (keyed && !holds(Integer.parseInt(exchange.headers().get("Shard-Key", "0")))) {
      return completed(newAnswer(421, headers.set("Not-Executed", "1"), ""));
    }
    if (behaviour == UpstreamBehaviour.FULL) {
      return completed(newAnswer(503, headers.set("Not-Executed", "1"), ""));
    }
    if (behaviour == UpstreamBehaviour.RESETTING) {
      server.closeConnections();
      return new CompletableFuture<>();
    }
    if (behaviour == UpstreamBehaviour.PAUSING) {
      pausedAtMs.add(System.currentTimeMillis());
      headers.set("Not-Executed", "1").set("Retry-After", "0.75");
      return completed(newAnswer(503, headers, ""));
    }
    if (behaviour == UpstreamBehaviour.LEAVING) {
      headers.set("Server-Leaving", "1");
    }
    runCounts.merge(requestId, 1, Integer::sum);
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    if (!fatalPath.isEmpty() && exchange.path().startsWith(fatalPath)) {
      endProcess();
      return answer;
    }
    if (behaviour == UpstreamBehaviour.SILENT) {
      return answer;
    }
    if (behaviour != UpstreamBehaviour.UNSIGNED) {
      headers.set("Response-Signature", "seal-" + requestId);
    }
    if (behaviour == UpstreamBehaviour.WRONG_REQUEST_ID) {
      headers.set("Request-Id", "another");
    }
    int status = behaviour == UpstreamBehaviour.FAILING ? 500 : 200;
    String body = id + " " + exchange.method() + " " + exchange.uri() + " " + bodyText(exchange);
    loops
        .next()
        .schedule(
            () -> answer.complete(newAnswer(status, headers, body)),
            serviceTimeMs,
            TimeUnit.MILLISECONDS);
    return answer;
  }

  private static String bodyText(HttpExchange exchange) {
    return new String(exchange.body(), StandardCharsets.UTF_8);
  }

  private static HttpAnswer newAnswer(int status, HttpHeaders headers, String body) {
    return new HttpAnswer(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  private static CompletableFuture<HttpAnswer> completed(HttpAnswer answer) {
    return CompletableFuture.completedFuture(answer);
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
