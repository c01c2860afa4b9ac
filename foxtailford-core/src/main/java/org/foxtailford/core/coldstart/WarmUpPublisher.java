package org.foxtailford.core.coldstart;

/** Tells the other entry VMs that an upstream has warmed up. */
@FunctionalInterface
public interface WarmUpPublisher {

  /**
   * Tells that one start of an upstream is warm. May be repeated; it stays true for that start.
   *
   * @param upstream name of the upstream
   * @param bootId number of the start
   */
  void publishWarm(String upstream, long bootId);
}
