package org.foxtailford.entry.control;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.schema.entry.StoredRow;

/**
 * Converts rows to the messages that entry VMs send each other; large values are compressed once
 * for all receivers.
 *
 * <p>Each change sends a configuration of up to a thousand routes to every entry VM, and the
 * leader's link may have only a few Mbit/s. Not thread-safe.
 */
final class RowPacker {

  /** Length from which values are compressed, in bytes; shorter ones fit into a few packets. */
  static final int COMPRESSION_THRESHOLD_BYTES = 4 << 10;

  /** Maximum length of a decompressed value, in bytes; the store's limit for one call. */
  private static final int MAX_INFLATED_BYTES = 1 << 20;

  private final Map<String, CompressedValue> compressedValues = new HashMap<>();

  private record CompressedValue(StoreVersion version, ByteString value) {}

  /** Converts a row to a message. */
  StoredRow pack(String table, Row row) {
    StoredRow.Builder message =
        StoredRow.newBuilder()
            .setKey(row.key())
            .setVersion(row.version().number())
            .setDeleted(row.deleted());
    if (row.value().length < COMPRESSION_THRESHOLD_BYTES) {
      return message.setValue(ByteString.copyFrom(row.value())).build();
    }
    CompressedValue compressed = compressedValues.get(table + '/' + row.key());
    if (compressed == null || !compressed.version().equals(row.version())) {
      compressed = new CompressedValue(row.version(), deflate(row.value()));
      compressedValues.put(table + '/' + row.key(), compressed);
    }
    return message.setValue(compressed.value()).setInflatedBytes(row.value().length).build();
  }

  private static ByteString deflate(byte[] value) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(value);
      deflater.finish();
      ByteString.Output out = ByteString.newOutput(value.length / 4);
      byte[] buffer = new byte[COMPRESSION_THRESHOLD_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteString();
    } finally {
      deflater.end();
    }
  }

  /**
   * Converts a message to a row.
   *
   * @param era era of the store to which the row's version belongs
   * @throws UnreadableRowException if a value can't be decompressed or is shorter than its stated
   *     length, or that length is negative or over 1 MiB
   */
  static Row unpack(StoredRow message, long era) {
    byte[] value = message.getValue().toByteArray();
    if (message.getInflatedBytes() != 0) {
      value = inflate(message.getKey(), value, message.getInflatedBytes());
    }
    return new Row(
        message.getKey(), value, new StoreVersion(era, message.getVersion()), message.getDeleted());
  }

  private static byte[] inflate(String key, byte[] deflated, int length) {
    if (length < 0 || length > MAX_INFLATED_BYTES) {
      throw new UnreadableRowException(
          "row " + key + " has an invalid inflated length of " + length + " bytes");
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated);
      byte[] value = new byte[length];
      int inflatedLength = 0;
      while (inflatedLength < length && !inflater.finished()) {
        int count = inflater.inflate(value, inflatedLength, length - inflatedLength);
        if (count == 0) {
          break;
        }
        inflatedLength += count;
      }
      if (inflatedLength < length) {
        throw new UnreadableRowException(
            "row " + key + " is truncated after " + inflatedLength + " bytes");
      }
      return value;
    } catch (DataFormatException e) {
      throw new UnreadableRowException("row " + key + " cannot be inflated", e);
    } finally {
      inflater.end();
    }
  }
}
