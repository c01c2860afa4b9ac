package org.foxtailford.daemon.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.http.BootIdListener;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.UpstreamClient;
import org.foxtailford.schema.Endpoint;

/**
 * Simulates the connections of one entry VM to upstreams. Each connection is bound to one
 * incarnation of its upstream; some are lost while the upstream processes their request.
 */
final class SimulatedConnections implements UpstreamClient {

  private static final int CONNECT_MS = 1;
  private static final int PROBE_MS = 2;
  private static final int MAX_TRANSIT_MS = 8;
  private static final int INVERSE_LOSS_RATE = 50;

  private final String vm;
  private final Map<Endpoint, SimulatedUpstream> upstreams;
  private final BootIdListener listener;
  private final SimulatedTime time;
  private final Random random;
  private final Map<Endpoint, Deque<Long>> idle = new HashMap<>();

  SimulatedConnections(
      String vm,
      Map<Endpoint, SimulatedUpstream> upstreams,
      BootIdListener listener,
      SimulatedTime time,
      Random random) {
    this.vm = vm;
    this.upstreams = upstreams;
    this.listener = listener;
    this.time = time;
    this.random = random;
  }

  /** A request in flight: its upstream, its content, and the future that receives the answer. */
  private record Call(
      Endpoint endpoint,
      SimulatedUpstream upstream,
      HttpExchange exchange,
      CompletableFuture<HttpAnswer> answer) {

    void fail(ResultCode code) {
      answer.completeExceptionally(new ResultCodeException(code, code.name()));
    }
  }

  CompletableFuture<Long> readBootId(Endpoint endpoint) {
    CompletableFuture<Long> read = new CompletableFuture<>();
    time.after(CONNECT_MS + PROBE_MS, () -> read.complete(upstreams.get(endpoint).bootId()));
    return read;
  }

  @Override
  public CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, OptionalLong bootId, long timeoutMs) {
    Call call = new Call(endpoint, upstreams.get(endpoint), exchange, new CompletableFuture<>());
    time.after(timeoutMs, () -> call.fail(ResultCode.ANSWER_TIMEOUT));
    Deque<Long> idleBootIds = idle.computeIfAbsent(endpoint, absent -> new ArrayDeque<>());
    idleBootIds.removeIf(id -> bootId.isPresent() && id != bootId.getAsLong());
    Long reused = idleBootIds.poll();
    if (reused != null) {
      start(call, reused);
    } else {
      int readyMs = bootId.isPresent() ? CONNECT_MS + PROBE_MS : CONNECT_MS;
      time.after(readyMs, () -> onConnected(call, bootId));
    }
    return call.answer();
  }

  private void onConnected(Call call, OptionalLong requiredBootId) {
    long bootId = call.upstream().bootId();
    listener.onBootId(call.endpoint(), bootId);
    if (requiredBootId.isPresent() && requiredBootId.getAsLong() != bootId) {
      idle.get(call.endpoint()).add(bootId);
      call.fail(ResultCode.UPSTREAM_UNREACHABLE);
    } else {
      start(call, bootId);
    }
  }

  private void start(Call call, long bootId) {
    if (call.answer().isDone()) {
      return;
    }
    time.after(1 + random.nextInt(MAX_TRANSIT_MS), () -> arrive(call, bootId));
  }

  private void arrive(Call call, long bootId) {
    if (bootId != call.upstream().bootId()) {
      call.fail(ResultCode.OUTCOME_UNKNOWN);
      return;
    }
    CompletableFuture<HttpAnswer> answered = call.upstream().receive(vm, call.exchange());
    if (random.nextInt(INVERSE_LOSS_RATE) == 0) {
      call.fail(ResultCode.OUTCOME_UNKNOWN);
      return;
    }
    answered.thenAccept(
        received ->
            time.after(1 + random.nextInt(MAX_TRANSIT_MS), () -> finish(call, bootId, received)));
  }

  private void finish(Call call, long bootId, HttpAnswer received) {
    if (bootId != call.upstream().bootId()) {
      call.fail(ResultCode.OUTCOME_UNKNOWN);
    } else if (call.answer().complete(received)) {
      idle.get(call.endpoint()).add(bootId);
    }
  }
}
