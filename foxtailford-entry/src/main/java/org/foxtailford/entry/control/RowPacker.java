package org.foxtailford.entry.control;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.schema.entry.StoredRow;

/**
 * Turns rows into what entry VMs send each other; large values are deflated once for all receivers.
 *
 * <p>A configuration of a thousand routes goes to each entry VM at each change, and the leader may
 * have a link of a few Mbit/s. Not thread-safe.
 */
final class RowPacker {

  /** Length from which a value is deflated, in bytes; shorter ones fit into a few packets. */
  static final int LARGE_BYTES = 4 << 10;

  /** Longest value that is inflated, in bytes; what the store takes in one call. */
  private static final int MOST_BYTES = 1 << 20;

  private final Map<String, Packed> packed = new HashMap<>();

  private record Packed(long version, ByteString value) {}

  /** Returns the message of a row. */
  StoredRow pack(String table, Row row) {
    StoredRow.Builder message =
        StoredRow.newBuilder()
            .setKey(row.key())
            .setVersion(row.version())
            .setDeleted(row.deleted());
    if (row.value().length < LARGE_BYTES) {
      return message.setValue(ByteString.copyFrom(row.value())).build();
    }
    Packed known = packed.get(table + '/' + row.key());
    if (known == null || known.version() != row.version()) {
      known = new Packed(row.version(), deflate(row.value()));
      packed.put(table + '/' + row.key(), known);
    }
    return message.setValue(known.value()).setInflatedBytes(row.value().length).build();
  }

  private static ByteString deflate(byte[] value) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(value);
      deflater.finish();
      ByteString.Output out = ByteString.newOutput(value.length / 4);
      byte[] buffer = new byte[LARGE_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteString();
    } finally {
      deflater.end();
    }
  }

  /**
   * Returns the row of a message.
   *
   * @throws UnreadableRowException if a deflated value does not have the stated length
   */
  static Row unpack(StoredRow message) {
    byte[] value = message.getValue().toByteArray();
    if (message.getInflatedBytes() != 0) {
      value = inflate(message.getKey(), value, message.getInflatedBytes());
    }
    return new Row(message.getKey(), value, message.getVersion(), message.getDeleted());
  }

  private static byte[] inflate(String key, byte[] deflated, int length) {
    if (length < 0 || length > MOST_BYTES) {
      throw new UnreadableRowException("row " + key + " states a length of " + length + " bytes");
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated);
      byte[] value = new byte[length];
      int got = 0;
      while (got < length && !inflater.finished()) {
        int more = inflater.inflate(value, got, length - got);
        if (more == 0) {
          break;
        }
        got += more;
      }
      if (got < length) {
        throw new UnreadableRowException("row " + key + " breaks off after " + got + " bytes");
      }
      return value;
    } catch (DataFormatException e) {
      throw new UnreadableRowException("row " + key + " can't be inflated", e);
    } finally {
      inflater.end();
    }
  }
}
