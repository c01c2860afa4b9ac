package org.foxtailford.cli;

/** Commands that take data centres and VMs out and bring them back. */
final class StateCommands {

  private StateCommands() {}

  /** Sets the state of one item of a list of the document. */
  private abstract static class AbstractStateCommand extends AbstractChangeCommand {

    private final String list;
    private final String field;
    private final boolean value;

    AbstractStateCommand(String list, String field, boolean value) {
      this.list = list;
      this.field = field;
      this.value = value;
    }

    @Override
    String usage() {
      return "NAME";
    }

    @Override
    ExitStatus run(CommandIo io) {
      String name = arguments(1).get(0);
      return printAccepted(io, sender(io).edit(list, name, item -> item.put(field, value)));
    }
  }

  /** Takes a data centre out. */
  static final class DataCentreOut extends AbstractStateCommand {
    DataCentreOut() {
      super("dataCentres", "out", true);
    }
  }

  /** Brings a data centre back. */
  static final class DataCentreIn extends AbstractStateCommand {
    DataCentreIn() {
      super("dataCentres", "out", false);
    }
  }

  /** Keeps new work from a VM. */
  static final class VmDrain extends AbstractStateCommand {
    VmDrain() {
      super("vms", "draining", true);
    }
  }

  /** Lets a VM receive work again. */
  static final class VmUndrain extends AbstractStateCommand {
    VmUndrain() {
      super("vms", "draining", false);
    }
  }
}
