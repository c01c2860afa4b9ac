package org.foxtailford.core.configuration;

import com.google.protobuf.InvalidProtocolBufferException;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.jspecify.annotations.Nullable;

/** Reads the rows in which the table holds the configuration. */
public final class ConfigurationRecords {

  /** Row of the version in force. */
  public static final String ROW = "configuration";

  /** Schema of documents that this build writes, and the highest that it reads. */
  public static final int SCHEMA_VERSION = 1;

  private ConfigurationRecords() {}

  /**
   * Reads the row of the version in force.
   *
   * @throws ResultCodeException with {@link ResultCode#UNREADABLE_CONFIGURATION} if it is damaged
   *     or of a newer schema
   */
  public static ConfigurationVersion parse(TableRow row) {
    try {
      ConfigurationRecord record = ConfigurationRecord.parseFrom(row.value());
      requireSupportedSchema(row.version(), record);
      return ConfigurationVersion.newBuilder().setVersion(row.version()).setRecord(record).build();
    } catch (InvalidProtocolBufferException e) {
      throw unreadable(row.version(), "is damaged", e);
    }
  }

  /** Reads a row of the history. */
  static ConfigurationVersion parseHistory(TableRow row) {
    try {
      return ConfigurationVersion.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw unreadable(row.version(), "of the history is damaged", e);
    }
  }

  /**
   * Requires a record that this build can read.
   *
   * @throws ResultCodeException with {@link ResultCode#UNREADABLE_CONFIGURATION} if it cannot
   */
  public static void requireSupportedSchema(long version, ConfigurationRecord record) {
    int schema = record.getSchema();
    if (schema < 1 || schema > SCHEMA_VERSION) {
      String reason = "has schema " + schema + ", and this build reads up to " + SCHEMA_VERSION;
      throw unreadable(version, reason, null);
    }
  }

  private static ResultCodeException unreadable(
      long version, String reason, @Nullable Throwable cause) {
    String message = "configuration version " + version + " " + reason;
    return cause == null
        ? new ResultCodeException(ResultCode.UNREADABLE_CONFIGURATION, message)
        : new ResultCodeException(ResultCode.UNREADABLE_CONFIGURATION, message, cause);
  }
}
