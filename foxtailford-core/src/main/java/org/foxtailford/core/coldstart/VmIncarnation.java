package org.foxtailford.core.coldstart;

/**
 * Identifies one incarnation of an entry VM.
 *
 * @param vm name of the VM
 * @param bootId boot id, which differs for each incarnation
 */
public record VmIncarnation(String vm, long bootId) {}
