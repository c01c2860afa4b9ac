package org.foxtailford.cli;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.InvalidConfigurationException;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The {@code foxtailctl} command: the operators' client. */
public final class FoxtailctlCommand {

  private static final String VERSION = "foxtailctl 0.1.0";
  private static final long PAUSE_NS = 500_000_000;

  private static final Map<String, Supplier<AbstractCommand>> COMMANDS = commands();

  private final CommandIo io;

  FoxtailctlCommand(CommandIo io) {
    this.io = io;
  }

  private static Map<String, Supplier<AbstractCommand>> commands() {
    Map<String, Supplier<AbstractCommand>> commands = new LinkedHashMap<>();
    commands.put("status", StatusCommand::new);
    commands.put("config get", ConfigCommands.Get::new);
    commands.put("config diff", ConfigCommands.Diff::new);
    commands.put("config check", ConfigCommands.Check::new);
    commands.put("config apply", ConfigCommands.Apply::new);
    commands.put("config history", ConfigCommands.History::new);
    commands.put("dc out", StateCommands.DataCentreOut::new);
    commands.put("dc lost", StateCommands.DataCentreLost::new);
    commands.put("dc in", StateCommands.DataCentreIn::new);
    commands.put("dc status", FoxtailctlCommand::dataCentres);
    commands.put("vm drain", StateCommands.VmDrain::new);
    commands.put("vm undrain", StateCommands.VmUndrain::new);
    commands.put("vms", FoxtailctlCommand::vms);
    commands.put("upstreams", FoxtailctlCommand::upstreams);
    commands.put("slices", FoxtailctlCommand::slices);
    commands.put("owner", RoutingCommands.Owner::new);
    commands.put("why", RoutingCommands.Why::new);
    return commands;
  }

  private static AbstractCommand dataCentres() {
    return new ListCommand(
        "/v1/data-centres",
        "dataCentres",
        "name",
        "out",
        "entryVms",
        "upstreams",
        "availableUpstreams",
        "slicesOwned",
        "homeSlices",
        "leavingSlices",
        "arrivingSlices",
        "unownedSlices");
  }

  private static AbstractCommand vms() {
    return new ListCommand("/v1/vms", "vms", "name", "dataCentre", "role", "state", "draining");
  }

  private static AbstractCommand upstreams() {
    return new ListCommand(
        "/v1/upstreams", "upstreams", "name", "dataCentre", "available", "services", "slices");
  }

  private static AbstractCommand slices() {
    return new ListCommand("/v1/slices", "slices", "service", "range", "upstream", "fence");
  }

  /** Runs the command. */
  public static void main(String[] args) {
    CommandIo io =
        new CommandIo(
            System.out,
            System.err,
            System.getenv(),
            new SecureRandom()::nextLong,
            System::currentTimeMillis,
            () -> LockSupport.parkNanos(PAUSE_NS));
    System.exit(new FoxtailctlCommand(io).run(args).number());
  }

  /** Runs what the command line asks for. */
  ExitStatus run(String... args) {
    List<String> words = Arrays.asList(args);
    if (words.isEmpty()) {
      printUsage(io.err());
      return ExitStatus.USAGE;
    }
    switch (words.get(0)) {
      case "--help":
      case "-h":
      case "help":
        printUsage(io.out());
        return ExitStatus.DONE;
      case "--version":
        io.out().println(VERSION);
        return ExitStatus.DONE;
      case "completion":
        return completion(words);
      default:
        return runCommand(words);
    }
  }

  private ExitStatus runCommand(List<String> words) {
    for (int length = Math.min(2, words.size()); length > 0; length--) {
      String name = String.join(" ", words.subList(0, length));
      Supplier<AbstractCommand> command = COMMANDS.get(name);
      if (command != null) {
        return parseAndRun(name, command.get(), words.subList(length, words.size()));
      }
    }
    io.err().println("foxtailctl: no command \"" + words.get(0) + "\"; see foxtailctl --help");
    return ExitStatus.USAGE;
  }

  private ExitStatus parseAndRun(String name, AbstractCommand command, List<String> rest) {
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(rest);
      if (command.help()) {
        io.out().println(("usage: foxtailctl " + name + " " + command.usage()).stripTrailing());
        parser.printUsage(io.out());
        return ExitStatus.DONE;
      }
      return command.run(io);
    } catch (CmdLineException e) {
      return fail(new ResultCodeException(ResultCode.USAGE, String.valueOf(e.getMessage()), e));
    } catch (ResultCodeException e) {
      return fail(e);
    }
  }

  private ExitStatus fail(ResultCodeException failure) {
    ResultCode code = failure.code();
    io.err().printf("foxtailctl: %d %s: %s%n", code.number(), code, failure.getMessage());
    if (failure instanceof OperatorReplyException reply) {
      AbstractChangeCommand.printFindings(io, reply.body());
      reply
          .body()
          .path("difference")
          .forEach(
              change ->
                  io.err()
                      .printf(
                          "  %s: in force %s, yours %s%n",
                          AbstractCommand.text(change, "path"),
                          AbstractCommand.text(change, "before"),
                          AbstractCommand.text(change, "after")));
    }
    if (failure instanceof InvalidConfigurationException invalid) {
      invalid.report().findings().forEach(finding -> io.err().println("  " + finding));
    }
    return ExitStatus.of(code);
  }

  private static void printUsage(PrintStream out) {
    out.println("usage: foxtailctl COMMAND [OPTION...] [ARGUMENT...]");
    out.println();
    COMMANDS.forEach(
        (name, command) ->
            out.println(("  foxtailctl " + name + " " + command.get().usage()).stripTrailing()));
    out.println("  foxtailctl completion bash");
    out.println("  foxtailctl --version");
    out.println();
    out.println("Entry VMs are named by --operator HOST:PORT (repeatable) or by the variable");
    out.println(AbstractCommand.OPERATORS_VARIABLE + ". COMMAND --help shows its options.");
  }

  private ExitStatus completion(List<String> words) {
    if (!words.equals(List.of("completion", "bash"))) {
      io.err().println("foxtailctl: usage: foxtailctl completion bash");
      return ExitStatus.USAGE;
    }
    Map<String, TreeSet<String>> following = new LinkedHashMap<>();
    following.computeIfAbsent("foxtailctl", key -> new TreeSet<>()).add("completion");
    following.computeIfAbsent("completion", key -> new TreeSet<>()).add("bash");
    for (String name : COMMANDS.keySet()) {
      List<String> path = new ArrayList<>(List.of("foxtailctl"));
      path.addAll(List.of(name.split(" ")));
      for (int i = 0; i + 1 < path.size(); i++) {
        following.computeIfAbsent(path.get(i), key -> new TreeSet<>()).add(path.get(i + 1));
      }
    }
    io.out().println("_foxtailctl() {");
    io.out().println("  local words=\"--operator --json --as --help\"");
    io.out().println("  case \"${COMP_WORDS[COMP_CWORD-1]##*/}\" in");
    following.forEach(
        (word, next) -> io.out().printf("    %s) words=\"%s\" ;;%n", word, String.join(" ", next)));
    io.out().println("  esac");
    io.out().println("  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))");
    io.out().println("}");
    io.out().println("complete -o default -F _foxtailctl foxtailctl");
    return ExitStatus.DONE;
  }
}
