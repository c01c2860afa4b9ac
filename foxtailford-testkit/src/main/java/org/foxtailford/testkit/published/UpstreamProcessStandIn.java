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
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.schema.Endpoint;

/** Stand-in of an upstream: grants, releases, load, seals, refusals. Thread-safe. */
public final class UpstreamProcessStandIn implements HttpExchangeHandler, AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final EventLoopGroup loops;
  private final HttpServer server;
  private final String id;
  private final boolean keyed;
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final List<Held> held = new ArrayList<>();
  private volatile UpstreamBehaviour behaviour = UpstreamBehaviour.NORMAL;
  private volatile long workMs = 5;
  private int port;

  private record Held(int from, int to, long fence, long untilMs) {}

  /** Creates an upstream; a keyed one runs only requests for keys that it holds. */
  public UpstreamProcessStandIn(EventLoopGroup loops, String id, boolean keyed) {
    this.loops = Assert.notNull(loops, "loops");
    this.id = Assert.hasLength(id, "id");
    this.keyed = keyed;
    this.server = new HttpServer(loops, new HttpLimits(8 << 10, 2 << 20), this);
  }

  /** Starts on a free port of the loopback address. */
  public UpstreamProcessStandIn start() {
    port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").setPort(0).build());
    return this;
  }

  /** Returns its registration for a service and data centre. */
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
        .put("born", 1_700_000_000_000L)
        .toString();
  }

  /** Returns the id. */
  public String id() {
    return id;
  }

  /** Sets how it behaves from now on. */
  public void setBehaviour(UpstreamBehaviour newBehaviour) {
    behaviour = Assert.notNull(newBehaviour, "newBehaviour");
  }

  /** Sets how long it works on a request, in milliseconds. */
  public void setServiceTimeMs(long newWorkMs) {
    workMs = newWorkMs;
  }

  /** Returns how often it ran each request id. */
  public Map<String, Integer> runCounts() {
    return Map.copyOf(runs);
  }

  /** Returns whether it holds a key now. */
  public synchronized boolean holds(int key) {
    long nowMs = System.currentTimeMillis();
    return held.stream().anyMatch(h -> h.from <= key && key <= h.to && h.untilMs > nowMs);
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    String target = exchange.headers().get("Target-Instance");
    if (target != null && !target.equals(id)) {
      return now(answer(421, new DefaultHttpHeaders().set("Instance-Id", id), ""));
    }
    switch (exchange.path()) {
      case "/grant":
        return now(grant(exchange.body()));
      case "/release":
        return now(release(exchange.body()));
      default:
        return run(exchange);
    }
  }

  private synchronized HttpAnswer grant(byte[] bytes) {
    try {
      JsonNode body = MAPPER.readTree(bytes);
      int from = body.path("from").asInt();
      int to = body.path("to").asInt();
      long fence = body.path("fence").asLong();
      if (held.stream().anyMatch(h -> h.from <= to && from <= h.to && h.fence > fence)) {
        return HttpAnswer.json(409, "{}");
      }
      String hold = body.path("hold_time").asText();
      long holdMs = Long.parseLong(hold.substring(0, hold.length() - 2));
      held.add(new Held(from, to, fence, System.currentTimeMillis() + holdMs));
      return HttpAnswer.json(200, "{}");
    } catch (IOException e) {
      return HttpAnswer.json(400, "{}");
    }
  }

  private synchronized HttpAnswer release(byte[] bytes) {
    try {
      JsonNode body = MAPPER.readTree(bytes);
      int from = body.path("from").asInt();
      int to = body.path("to").asInt();
      List<Held> kept = new ArrayList<>();
      for (Held one : held) {
        if (one.from < from) {
          kept.add(new Held(one.from, Math.min(one.to, from - 1), one.fence, one.untilMs));
        }
        if (one.to > to) {
          kept.add(new Held(Math.max(one.from, to + 1), one.to, one.fence, one.untilMs));
        }
      }
      kept.add(new Held(from, to, body.path("fence").asLong(), 0));
      held.clear();
      held.addAll(kept);
      return answer(200, new DefaultHttpHeaders().set("Handover", "h-" + id), "");
    } catch (IOException e) {
      return HttpAnswer.json(400, "{}");
    }
  }

  private CompletableFuture<HttpAnswer> run(HttpExchange exchange) {
    HttpHeaders headers = new DefaultHttpHeaders();
    String requestId = exchange.headers().get("Request-Id", "");
    headers.set("Request-Id", requestId).set("Instance-Load", "1,0,4,100").set("Instance-Id", id);
    if (keyed && !holds(Integer.parseInt(exchange.headers().get("Shard-Key", "0")))) {
      return now(answer(421, headers.set("Not-Executed", "1"), ""));
    }
    if (behaviour == UpstreamBehaviour.FULL) {
      return now(answer(503, headers.set("Not-Executed", "1"), ""));
    }
    runs.merge(requestId, 1, Integer::sum);
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
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
            () -> answer.complete(answer(status, headers, body)), workMs, TimeUnit.MILLISECONDS);
    return answer;
  }

  private static String bodyText(HttpExchange exchange) {
    return new String(exchange.body(), StandardCharsets.UTF_8);
  }

  private static HttpAnswer answer(int status, HttpHeaders headers, String body) {
    return new HttpAnswer(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  private static CompletableFuture<HttpAnswer> now(HttpAnswer answer) {
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
