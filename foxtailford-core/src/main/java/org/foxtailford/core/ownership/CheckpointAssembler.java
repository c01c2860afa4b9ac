package org.foxtailford.core.ownership;

import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;

/** Converts the slice assignments of a term to the checkpoint in which they are published. */
final class CheckpointAssembler {

  private CheckpointAssembler() {}

  /** Returns a checkpoint of the term's assignments under a new version. */
  static OwnershipCheckpoint assemble(String dataCentre, LeaderTerm term) {
    Fence version = term.nextFence();
    OwnershipCheckpoint.Builder checkpoint =
        OwnershipCheckpoint.newBuilder()
            .setDataCentre(dataCentre)
            .setEpoch(version.epoch())
            .setSequence(version.sequence());
    term.slices()
        .services()
        .forEach(name -> checkpoint.addServices(toServiceAssignment(term, name)));
    return checkpoint.build();
  }

  private static ServiceAssignment toServiceAssignment(LeaderTerm term, String service) {
    ServiceAssignment.Builder builder = ServiceAssignment.newBuilder().setService(service);
    term.slices().slices(service).stream()
        .flatMap(state -> state.assignment().stream())
        .forEach(assignment -> builder.addSlices(assignment.toValue()));
    return builder.build();
  }
}
