package org.foxtailford.testkit.command;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.StandInEntryVm;
import org.foxtailford.schema.StandInSettings;
import org.foxtailford.schema.StandInUpstream;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.PlatformStandIn;
import org.foxtailford.testkit.upstream.UpstreamProcess;
import org.foxtailford.testkit.upstream.UpstreamProfile;

/**
 * A platform and upstreams on real sockets, with an interface that switches faults: {@code PUT
 * /kill/UPSTREAM}, {@code /start/UPSTREAM}, {@code /drain/UPSTREAM}, {@code /undrain/UPSTREAM},
 * {@code /platform/outage} and {@code /platform/recover}.
 */
public final class StandInWorld implements HttpExchangeHandler, AutoCloseable {

  private static final HttpLimits LIMITS = new HttpLimits(64 << 10, 64 << 20);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final PlatformStandIn platform = new PlatformStandIn();
  private final Map<String, UpstreamProcess> upstreams = new TreeMap<>();
  private final HttpServer platformServer = new HttpServer(loops, LIMITS, platform);
  private final HttpServer adminServer = new HttpServer(loops, LIMITS, this);

  /** Starts everything. */
  public StandInWorld(StandInSettings settings) {
    Assert.notNull(settings, "settings");
    MillisClock clock = new SystemMillisClock();
    settings.getUpstreamsList().forEach(upstream -> add(upstream, clock));
    settings.getEntryVmsList().forEach(this::add);
    upstreams.values().forEach(UpstreamProcess::start);
    platformServer.bind(settings.getPlatform());
    adminServer.bind(settings.getAdmin());
  }

  private void add(StandInUpstream upstream, MillisClock clock) {
    UpstreamProfile profile =
        new UpstreamProfile(
            upstream.getName(),
            !upstream.getIgnoresFences(),
            upstream.getSlots(),
            upstream.getColdSlots(),
            upstream.getColdMs(),
            upstream.getServiceTimeMs());
    Endpoint address = upstream.getAddress();
    upstreams.put(
        upstream.getName(),
        new UpstreamProcess(profile, address, loops, timer, clock, new SecureRandom()));
    putVm(upstream.getName(), upstream.getDataCentre(), VmRole.VM_ROLE_UPSTREAM, address);
  }

  private void add(StandInEntryVm vm) {
    putVm(vm.getName(), vm.getDataCentre(), VmRole.VM_ROLE_ENTRY, vm.getAddress());
  }

  private void putVm(String name, String dataCentre, VmRole role, Endpoint address) {
    platform.putVm(
        VmEntry.newBuilder()
            .setName(name)
            .setDataCentre(dataCentre)
            .setRole(role)
            .setState(VmState.VM_STATE_LIVE)
            .setAddress(address)
            .build());
  }

  public PlatformStandIn platform() {
    return platform;
  }

  /** Returns a stand-in upstream by name. */
  public UpstreamProcess upstream(String name) {
    return Assert.notNull(upstreams.get(name), "upstream " + name);
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    return CompletableFuture.supplyAsync(() -> command(exchange.path()), timer);
  }

  private HttpAnswer command(String path) {
    String[] words = path.split("/");
    if (words.length != 3 || (!words[1].equals("platform") && !upstreams.containsKey(words[2]))) {
      return refuse(ResultCode.UNKNOWN_RESOURCE, "no resource " + path);
    }
    switch (words[1]) {
      case "kill":
        upstream(words[2]).kill();
        break;
      case "start":
        upstream(words[2]).start();
        break;
      case "drain":
      case "undrain":
        upstream(words[2]).setDraining(words[1].equals("drain"));
        break;
      case "platform":
        platform.faults().setOutage(words[2].equals("outage"));
        break;
      default:
        return refuse(ResultCode.UNKNOWN_RESOURCE, "no resource " + path);
    }
    return HttpAnswer.text(200, "text/plain", "done\n");
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return HttpAnswer.text(code.httpStatus(), "text/plain", message + "\n");
  }

  @Override
  public void close() {
    upstreams.values().forEach(UpstreamProcess::close);
    platformServer.close();
    adminServer.close();
    timer.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
