package org.foxtailford.core.coldstart;

/** Notifies the other entry VMs that an upstream has warmed up. */
@FunctionalInterface
public interface WarmUpPublisher {

  /**
   * Publishes that an incarnation of an upstream is warm. May be called repeatedly: an incarnation
   * that is warm stays so.
   *
   * @param upstream name of the upstream
   * @param bootId boot id of the incarnation
   */
  void publishWarm(String upstream, long bootId);
}
