package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/** Options and output of commands that change the configuration. */
abstract class AbstractChangeCommand extends AbstractCommand {

  @Option(name = "--force", usage = "insist on a change that would be refused otherwise")
  private boolean force;

  @Option(name = "--note", metaVar = "TEXT", usage = "reason, for the history")
  private String note = "";

  boolean force() {
    return force;
  }

  ChangeSender sender(CommandIo io) {
    return new ChangeSender(client(io), io, operatorName(io), note, force);
  }

  ExitStatus printAccepted(CommandIo io, OperatorReply reply) {
    if (!printedAsJson(io, reply.body())) {
      printFindings(io, reply.body());
      io.out().println("version " + reply.body().path("version").asText() + " accepted");
    }
    return ExitStatus.DONE;
  }

  static void printFindings(CommandIo io, JsonNode body) {
    for (JsonNode finding : body.path("findings")) {
      io.err()
          .printf(
              "%s line %s: %s: %s%n  hint: %s%n",
              text(finding, "severity"),
              text(finding, "line"),
              text(finding, "path"),
              text(finding, "message"),
              text(finding, "hint"));
    }
  }
}
