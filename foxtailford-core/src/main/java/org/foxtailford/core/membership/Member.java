package org.foxtailford.core.membership;

import org.foxtailford.schema.Endpoint;

/**
 * An entry VM and its state as observed by this VM.
 *
 * @param vm name of the VM
 * @param dataCentre name of its data centre
 * @param address address on which it accepts peer connections
 * @param bootId boot id of the incarnation last observed; zero if none was
 * @param state its state
 */
public record Member(
    String vm, String dataCentre, Endpoint address, long bootId, MemberState state) {

  /** Returns whether state and relayed requests may be sent to the member. */
  public boolean isUsable() {
    return state == MemberState.LIVE || state == MemberState.LISTED;
  }
}
