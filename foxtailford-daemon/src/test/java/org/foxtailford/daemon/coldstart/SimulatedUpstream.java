package org.foxtailford.daemon.coldstart;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.testkit.upstream.UpstreamProfile;
import org.foxtailford.testkit.upstream.UpstreamStandIn;

/** Simulated upstream that restarts unannounced and counts the requests it receives while cold. */
final class SimulatedUpstream {

  private final UpstreamProfile profile;
  private final SimulatedTime time;
  private final Set<String> coldSenders = new TreeSet<>();
  private UpstreamStandIn process;
  private long bootId;
  private long previousColdRefusals;
  private long coldRuns;
  private long warmRuns;

  SimulatedUpstream(UpstreamProfile profile, SimulatedTime time) {
    this.profile = profile;
    this.time = time;
    start();
  }

  private void start() {
    bootId++;
    process = new UpstreamStandIn(profile, bootId, time.clock(0), time::schedule);
  }

  void restart() {
    previousColdRefusals += process.coldRefusals();
    start();
  }

  long bootId() {
    return bootId;
  }

  CompletableFuture<HttpAnswer> receive(String sender, HttpExchange exchange) {
    long runsBefore = process.runs();
    boolean cold = process.isCold();
    CompletableFuture<HttpAnswer> answer = process.handle(exchange);
    long admitted = process.runs() - runsBefore;
    if (cold && admitted > 0) {
      coldSenders.add(sender);
    }
    coldRuns += cold ? admitted : 0;
    warmRuns += cold ? 0 : admitted;
    return answer;
  }

  /** Returns the number of requests that exceeded the concurrency limit during cold starts. */
  long excessColdRequests() {
    return previousColdRefusals + process.coldRefusals();
  }

  long coldRuns() {
    return coldRuns;
  }

  long warmRuns() {
    return warmRuns;
  }

  /** Returns the entry VMs whose requests ran while this upstream was cold. */
  Set<String> coldSenders() {
    return coldSenders;
  }
}
