package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailford.core.result.ResultCodeException;
import org.kohsuke.args4j.Option;

/**
 * Shows which configuration version is in force where and how far slices have moved to the data
 * centres where it wants them, and waits until both are done.
 */
final class StatusCommand extends AbstractCommand {

  private static final long UNREACHABLE = -1;

  @Option(
      name = "--wait",
      usage = "wait until the stored version is in force everywhere and slices are handed over")
  private boolean wait;

  @Option(name = "--wait-ms", metaVar = "MS", usage = "longest time to wait")
  private long waitMs = 30_000;

  @Override
  String usage() {
    return "[--wait]";
  }

  @Override
  ExitStatus run(CommandIo io) {
    arguments(0);
    OperatorClient client = client(io);
    long untilMs = io.epochMs().getAsLong() + waitMs;
    while (true) {
      long stored = client.get("/v1/configuration").version();
      Map<String, Long> versions = versions(client);
      HandOverView slices = HandOverView.read(client);
      long behind = versions.values().stream().filter(version -> version < stored).count();
      boolean done = behind == 0 && slices.pending() == 0;
      if (done || !wait || io.epochMs().getAsLong() >= untilMs) {
        print(io, stored, versions, slices);
        return done || !wait ? ExitStatus.DONE : ExitStatus.NOT_YET;
      }
      io.err()
          .printf(
              "version %d: %d of %d VMs behind, %d slices not handed over%n",
              stored, behind, versions.size(), slices.pending());
      io.pause().run();
    }
  }

  /** Asks every endpoint; the highest version that anybody knows of a VM counts. */
  private static Map<String, Long> versions(OperatorClient client) {
    Map<String, Long> versions = new TreeMap<>();
    for (String endpoint : client.endpoints()) {
      try {
        JsonNode status = client.getFrom(endpoint, "/v1/status").body();
        for (JsonNode vm : status.path("vms")) {
          versions.merge(text(vm, "vm"), vm.path("configurationVersion").asLong(), Math::max);
        }
      } catch (ResultCodeException e) {
        versions.put(endpoint, UNREACHABLE);
      }
    }
    return versions;
  }

  private void print(CommandIo io, long stored, Map<String, Long> versions, HandOverView slices) {
    ObjectNode body = new ObjectMapper().createObjectNode().put("storedVersion", stored);
    ObjectNode vms = body.putObject("versionsInForce");
    versions.forEach(vms::put);
    slices.putInto(body.putObject("slicesByDataCentre"));
    if (printedAsJson(io, body)) {
      return;
    }
    io.out().println("stored version: " + stored);
    TextTable table = new TextTable("VM", "VERSION", "STATE");
    versions.forEach((vm, version) -> table.add(vm, shown(version), state(version, stored)));
    table.print(io.out());
    slices.print(io.out());
  }

  private static String shown(long version) {
    return version == UNREACHABLE ? "-" : Long.toString(version);
  }

  private static String state(long version, long stored) {
    if (version == UNREACHABLE) {
      return "not heard from";
    }
    return version >= stored ? "in force" : "behind";
  }
}
