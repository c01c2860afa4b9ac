package org.foxtailford.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.kohsuke.args4j.Option;

/** Commands that take data centres and VMs out and bring them back. */
final class StateCommands {

  private StateCommands() {}

  /** Sets the state of one item of a list of the document. */
  private abstract static class AbstractStateCommand extends AbstractChangeCommand {

    private final String list;
    private final Consumer<ObjectNode> edit;

    AbstractStateCommand(String list, Consumer<ObjectNode> edit) {
      this.list = list;
      this.edit = edit;
    }

    @Override
    String usage() {
      return "NAME";
    }

    @Override
    ExitStatus run(CommandIo io) {
      String name = arguments(1).get(0);
      return printAccepted(io, sender(io).edit(list, name, edit));
    }
  }

  /** Takes a data centre out. */
  static final class DataCentreOut extends AbstractStateCommand {
    DataCentreOut() {
      super("dataCentres", item -> item.put("out", true));
    }
  }

  /** States that nothing runs in a data centre any more, so that others take its keys at once. */
  static final class DataCentreLost extends AbstractStateCommand {

    @Option(
        name = "--nothing-runs-there",
        required = true,
        usage =
            "confirms that no entry VM and no upstream of it runs; otherwise keys get two owners")
    private boolean confirmed;

    DataCentreLost() {
      super("dataCentres", item -> item.put("out", true).put("lost", true));
    }
  }

  /** Brings a data centre back. */
  static final class DataCentreIn extends AbstractStateCommand {
    DataCentreIn() {
      super("dataCentres", item -> item.put("out", false).put("lost", false));
    }
  }

  /** Keeps new work from a VM. */
  static final class VmDrain extends AbstractStateCommand {
    VmDrain() {
      super("vms", item -> item.put("draining", true));
    }
  }

  /** Lets a VM receive work again. */
  static final class VmUndrain extends AbstractStateCommand {
    VmUndrain() {
      super("vms", item -> item.put("draining", false));
    }
  }
}
