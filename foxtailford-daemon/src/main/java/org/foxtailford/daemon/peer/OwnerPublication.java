package org.foxtailford.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.foxtailford.core.ownership.CheckpointReader;
import org.foxtailford.core.ownership.CheckpointWriter;
import org.foxtailford.core.ownership.OwnershipPublisher;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.control.GrantTimes;
import org.foxtailford.schema.OwnershipCheckpoint;

/**
 * Publishes the owners that this VM assigns as leader: sends them to the other entry VMs and saves
 * them as a checkpoint. Not thread-safe: all calls run on the control executor.
 */
public final class OwnerPublication implements OwnershipPublisher {

  private final String dataCentre;
  private final GrantTimes grantTimes;
  private final OwnerDisseminator owners;
  private final CheckpointWriter writer;
  private final CheckpointReader reader;
  private final Executor control;

  /**
   * Creates a publication.
   *
   * @param dataCentre data centre of this VM
   * @param grantTimes records since when each slice has had its owner
   * @param owners forwards owners to other entry VMs
   * @param writer saves checkpoints
   * @param reader loads the checkpoint of an earlier leader
   * @param control control executor, runs all callbacks
   */
  public OwnerPublication(
      String dataCentre,
      GrantTimes grantTimes,
      OwnerDisseminator owners,
      CheckpointWriter writer,
      CheckpointReader reader,
      Executor control) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.grantTimes = Assert.notNull(grantTimes, "grantTimes");
    this.owners = Assert.notNull(owners, "owners");
    this.writer = Assert.notNull(writer, "writer");
    this.reader = Assert.notNull(reader, "reader");
    this.control = Assert.notNull(control, "control");
  }

  @Override
  public void publish(OwnershipCheckpoint checkpoint) {
    OwnershipCheckpoint timestamped = grantTimes.withGrantTimes(checkpoint);
    owners.publish(timestamped);
    writer.publish(timestamped);
  }

  /**
   * Loads the checkpoint that an earlier leader saved and routes by it until a peer sends a newer
   * version.
   *
   * @return completes once the checkpoint is applied or none exists, or fails if it can't be read
   */
  public CompletableFuture<Void> loadSaved() {
    return reader
        .load(dataCentre)
        .thenAcceptAsync(saved -> saved.ifPresent(owners::publish), control);
  }

  /** Saves a checkpoint if one is due. Called at every control step. */
  public void tick() {
    writer.tick();
  }
}
