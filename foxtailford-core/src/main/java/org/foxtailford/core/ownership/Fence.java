package org.foxtailford.core.ownership;

import org.foxtailford.schema.FenceValue;

/**
 * Fencing token of a decision about the ownership of slices; a higher fence overrides lower ones.
 *
 * <p>Fences are ordered by epoch, then by sequence, both compared as unsigned numbers.
 *
 * @param epoch epoch of the leader's lease
 * @param sequence number of the decision within the epoch
 */
public record Fence(long epoch, long sequence) implements Comparable<Fence> {

  /** A fence lower than any that is issued. */
  public static final Fence NONE = new Fence(0, 0);

  /** Converts a fence from its protobuf message. */
  public static Fence of(FenceValue value) {
    return new Fence(value.getEpoch(), value.getSequence());
  }

  /**
   * Parses the text form {@code EPOCH.SEQUENCE} that {@link #toString()} returns.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static Fence parse(String text) {
    int dot = text.indexOf('.');
    if (dot <= 0) {
      throw new IllegalArgumentException("fence must have the form EPOCH.SEQUENCE: " + text);
    }
    return new Fence(
        Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
  }

  /** Converts this fence to its protobuf message. */
  public FenceValue toValue() {
    return FenceValue.newBuilder().setEpoch(epoch).setSequence(sequence).build();
  }

  @Override
  public int compareTo(Fence other) {
    int byEpoch = Long.compareUnsigned(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compareUnsigned(sequence, other.sequence);
  }

  @Override
  public String toString() {
    return epoch + "." + sequence;
  }
}
