package org.foxtailford.core.membership;

import org.foxtailford.schema.Endpoint;

/**
 * An entry VM.
 *
 * @param vm name of the VM
 * @param dataCentre its data centre
 * @param address where it takes peers
 * @param bootId process that was heard from; zero if none was
 * @param state what is known of it
 */
public record Member(
    String vm, String dataCentre, Endpoint address, long bootId, MemberState state) {

  /** Tells whether the member may receive state and relayed requests. */
  public boolean isUsable() {
    return state == MemberState.LIVE || state == MemberState.LISTED;
  }
}
