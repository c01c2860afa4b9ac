package org.foxtailford.core.coldstart;

/**
 * One start of an entry VM.
 *
 * @param vm name of the VM
 * @param bootId number of this start
 */
public record VmIncarnation(String vm, long bootId) {}
