package org.foxtailford.core.ownership;

import org.foxtailford.schema.FenceValue;

/**
 * Order of authority over slices.
 *
 * @param epoch epoch of the leader's lease
 * @param sequence number of the order within the epoch
 */
public record Fence(long epoch, long sequence) implements Comparable<Fence> {

  /** Lower than every fence that is issued. */
  public static final Fence NONE = new Fence(0, 0);

  /** Returns the fence of a schema message. */
  public static Fence of(FenceValue value) {
    return new Fence(value.getEpoch(), value.getSequence());
  }

  /**
   * Parses the form that {@link #toString()} gives.
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

  /** Returns the schema message of this fence. */
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
