package org.foxtailford.core.dissemination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.ServiceAssignment;

class OwnershipFeedProperties {

  private static final int SLICES = 32;
  private static final int VERSIONS = 40;
  private static final List<SliceRange> RANGES = SliceRange.divide(SLICES);

  @Property(seed = "3", tries = 300)
  void receiverThatMissesMessagesConvergesToTheSendersOwners(@ForAll Random random) {
    OwnershipFeed sender = new OwnershipFeed("dc", 8);
    OwnershipFeed receiver = new OwnershipFeed("dc", 8);
    for (int version = 1; version <= VERSIONS; version++) {
      sender.accept(checkpoint(random, version));
      if (random.nextInt(4) == 0) {
        deliver(sender.messageFor(receiver.current().version()), receiver);
      }
    }
    deliver(sender.messageFor(receiver.current().version()), receiver);
    assertThat(receiver.current().version()).isEqualTo(sender.current().version());
    assertThat(receiver.current().slices("menu"))
        .containsExactlyElementsOf(sender.current().slices("menu"));
  }

  @Property(seed = "3", tries = 200)
  void deltaOnAnotherBaseIsRejected(@ForAll Random random) {
    OwnershipFeed sender = new OwnershipFeed("dc", 8);
    OwnershipFeed receiver = new OwnershipFeed("dc", 8);
    sender.accept(checkpoint(random, 1));
    sender.accept(checkpoint(random, 2));
    PeerFrame delta = sender.messageFor(new Fence(1, 1)).orElseThrow();
    assertThat(delta.hasOwnershipDelta()).isTrue();
    assertThat(receiver.accept(delta.getOwnershipDelta())).isFalse();
  }

  @Property(seed = "3", tries = 200)
  void versionNeverDecreases(@ForAll Random random) {
    OwnershipFeed feed = new OwnershipFeed("dc", 8);
    feed.accept(checkpoint(random, 5));
    assertThat(feed.accept(checkpoint(random, 4))).isFalse();
    assertThat(feed.current().version()).isEqualTo(new Fence(1, 5));
  }

  private static void deliver(Optional<PeerFrame> message, OwnershipFeed receiver) {
    message.ifPresent(
        frame -> {
          boolean accepted =
              frame.hasOwnership()
                  ? receiver.accept(frame.getOwnership())
                  : receiver.accept(frame.getOwnershipDelta());
          assertThat(accepted).isTrue();
        });
  }

  private static OwnershipCheckpoint checkpoint(Random random, long sequence) {
    ServiceAssignment.Builder service = ServiceAssignment.newBuilder().setService("menu");
    for (SliceRange range : RANGES) {
      if (random.nextInt(10) > 0) {
        String owner = "u" + random.nextInt(3);
        service.addSlices(new SliceAssignment(range, owner, new Fence(1, 1)).toValue());
      }
    }
    return OwnershipCheckpoint.newBuilder()
        .setDataCentre("dc")
        .setEpoch(1)
        .setSequence(sequence)
        .addServices(service)
        .build();
  }
}
