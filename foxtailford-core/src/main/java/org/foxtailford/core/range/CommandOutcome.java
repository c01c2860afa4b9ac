package org.foxtailford.core.range;

/** Outcome of a command that the leader sent to an upstream. */
public enum CommandOutcome {
  /** The upstream confirmed the command. */
  DONE,
  /** The upstream rejected the command because it has already seen a higher fence. */
  FENCED,
  /** The leader was too late to send the command, which says nothing of the upstream. */
  NOT_SENT,
  /**
   * No connection could be made, so the command was not delivered. This doesn't show that the
   * upstream's process is gone: a network partition refuses connections too.
   */
  UNREACHED,
  /** Another upstream now uses the address, so the addressed process is gone. */
  OTHER_UPSTREAM,
  /** The command may have been carried out already, or may still be carried out. */
  UNKNOWN
}
