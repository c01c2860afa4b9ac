import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the store, instances with their heartbeats, and entry VMs started
 * with the run line of deploy/system.toml.
 */
final class Deployment implements AutoCloseable {

  private static final long HEARTBEAT_MS = 870;
  private static final String SETTINGS_PATH = "/etc/foxtailford/local.toml";

  final StoreStandIn store;
  final List<InstanceStandIn> instances = new ArrayList<>();
  final List<Vm> vms = new ArrayList<>();
  private final Set<InstanceStandIn> left = new HashSet<>();
  private final Path root;
  private final Path folder;
  private final Record record;
  private boolean closed;
  private final Thread heartbeats = new Thread(this::beat, "heartbeats");

  /** An entry VM and its process. */
  static final class Vm {
    final String node;
    final String zone;
    final int front = freePort();
    final int ready = freePort();
    final int control = freePort();
    final int metrics = freePort();
    Process process;

    /** Peers' addresses in its settings; empty for those of the first three VMs. */
    List<String> seeds = List.of();

    Vm(String node, String zone) {
      this.node = node;
      this.zone = zone;
    }
  }

  /**
   * Creates a deployment without starting it.
   *
   * @param root folder of the repository, with what the build line of the deploy file made
   * @param folder temporary folder for settings and logs
   */
  Deployment(Path root, Path folder, Record record) throws IOException {
    this.root = root;
    this.folder = folder;
    this.record = record;
    store = new StoreStandIn();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Ends all processes; none starts afterwards. */
  private synchronized void endProcesses() {
    closed = true;
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException("no free port", e);
    }
  }

  void add(InstanceStandIn instance) {
    instances.add(instance);
  }

  void addVm(String node, String zone) {
    vms.add(new Vm(node, zone));
  }

  /** Returns a config with the default limits. */
  static String config(int version, String routeRows, String serviceRows) {
    return "{\"version\":\"r" + version + "\",\"routes\":{\"columns\":[\"name\",\"host\","
        + "\"prefix\",\"kind\",\"timeout\",\"target_latency\",\"priority\",\"service\","
        + "\"max_attempts\",\"traffic_split\"],\"rows\":[" + routeRows + "]},\"services\":{"
        + "\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\","
        + "\"warmup\",\"warmup_per_s\",\"sharded\",\"warm\",\"grants\"],\"rows\":[" + serviceRows
        + "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
        + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
  }

  static String service(String name, boolean keyed) {
    return "[" + Json.quote(name) + ",\"/health\",120,\"h1\",false,\"3s\",12.0,"
        + (keyed ? "true,\"2s\",\"direct_call\"]" : "null,null,null]");
  }

  /** Starts everything and waits until all entry VMs are ready; keys may not be granted yet. */
  void start(String config) throws IOException, InterruptedException {
    store.put("op", "config", config);
    for (InstanceStandIn instance : instances) {
      instance.start();
      store.put("servers", instance.id, instance.entry("ready"));
    }
    heartbeats.setDaemon(true);
    heartbeats.start();
    for (Vm vm : vms) {
      startVm(vm);
    }
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    for (Vm vm : vms) {
      while (!isReady(vm)) {
        if (System.nanoTime() > endNanos || !vm.process.isAlive()) {
          throw new IllegalStateException(vm.node + " did not become ready");
        }
        Thread.sleep(100);
      }
    }
    record.line("all entry VMs are ready");
  }

  /** Removes an instance's entry and ends its heartbeats; its process goes on. */
  void remove(InstanceStandIn instance) {
    synchronized (left) {
      left.add(instance);
      store.remove("servers", instance.id);
    }
  }

  private void beat() {
    try {
      while (true) {
        Thread.sleep(HEARTBEAT_MS);
        for (InstanceStandIn instance : instances) {
          synchronized (left) {
            if (!left.contains(instance)) {
              store.put("servers", instance.id, instance.entry("ready"));
            }
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  synchronized void startVm(Vm vm) throws IOException {
    if (closed) {
      return;
    }
    Path settings = folder.resolve(vm.node + ".json");
    Files.writeString(settings, settings(vm));
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("deploy/system.toml has no run line");
    }
    String command = run.group(1).replace(SETTINGS_PATH, settings.toString());
    File log = folder.resolve(vm.node + ".log").toFile();
    vm.process =
        new ProcessBuilder(Arrays.asList(command.split(" ")))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    record.line("started %s as process %d, callers at port %d", vm.node, vm.process.pid(),
        vm.front);
  }

  /** The fields of deploy/entry-settings.template.json, with free ports. */
  private String settings(Vm vm) {
    List<String> seeds = new ArrayList<>();
    if (vm.seeds.isEmpty()) {
      vms.stream().limit(3).forEach(seed -> seeds.add("\"127.0.0.1:" + seed.control + "\""));
    } else {
      vm.seeds.forEach(seed -> seeds.add(Json.quote(seed)));
    }
    return "{\"node\":" + Json.quote(vm.node) + ",\"processorShare\":0.6,\"linkMbps\":1000.0,"
        + "\"firstStart\":true,\"dataCentre\":" + Json.quote(vm.zone) + ",\"listen\":{"
        + "\"callers\":\"127.0.0.1:" + vm.front + "\",\"readiness\":\"127.0.0.1:" + vm.ready
        + "\",\"peers\":\"127.0.0.1:" + vm.control + "\",\"metricsPort\":" + vm.metrics
        + "},\"seeds\":[" + String.join(",", seeds) + "],\"store\":{\"address\":\"127.0.0.1:"
        + store.port() + "\"},\"bounds\":{\"retryRatio\":0.2,\"retrySlack\":60,"
        + "\"retryWindow\":\"10s\",\"coldRatio\":1.5,\"coldSlack\":5,\"maxHold\":\"10000ms\","
        + "\"drain\":\"2000ms\",\"stop\":\"6s\"}}";
  }

  private static boolean isReady(Vm vm) {
    try {
      URL url = new URL("http://127.0.0.1:" + vm.ready + "/readiness");
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(1000);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends SIGTERM to an entry VM. */
  void terminate(Vm vm) {
    record.line("SIGTERM to %s", vm.node);
    vm.process.destroy();
  }

  @Override
  public void close() throws IOException {
    heartbeats.interrupt();
    endProcesses();
    for (Vm vm : vms) {
      try {
        if (vm.process != null && !vm.process.waitFor(5, TimeUnit.SECONDS)) {
          record.say("%s is still running as process %d", vm.node, vm.process.pid());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (InstanceStandIn instance : instances) {
      instance.close();
    }
    store.close();
  }
}
