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
 * Sends the owners that this VM decides on to the other entry VMs and saves them. Not thread-safe:
 * all calls run on the control executor.
 */
public final class OwnerPublication implements OwnershipPublisher {

  private final String dataCentre;
  private final GrantTimes grantTimes;
  private final OwnerSpread owners;
  private final CheckpointWriter writer;
  private final CheckpointReader reader;
  private final Executor control;

  /**
   * Creates the publication.
   *
   * @param dataCentre data centre of this VM
   * @param grantTimes notes since when slices have their owners
   * @param owners passes owners on to other entry VMs
   * @param writer saves owners
   * @param reader reads what an earlier leader saved
   * @param control executor of all callbacks
   */
  public OwnerPublication(
      String dataCentre,
      GrantTimes grantTimes,
      OwnerSpread owners,
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
    OwnershipCheckpoint noted = grantTimes.withGrantTimes(checkpoint);
    owners.publish(noted);
    writer.publish(noted);
  }

  /** Takes the owners that an earlier leader saved, until a peer has newer ones. */
  public CompletableFuture<Void> loadSaved() {
    return reader
        .load(dataCentre)
        .thenAcceptAsync(saved -> saved.ifPresent(owners::publish), control);
  }

  /** Saves what is due. Called at every round. */
  public void tick() {
    writer.tick();
  }
}
