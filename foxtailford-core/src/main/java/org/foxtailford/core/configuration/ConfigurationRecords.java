package org.foxtailford.core.configuration;

import com.google.protobuf.InvalidProtocolBufferException;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.jspecify.annotations.Nullable;

/** Parses the table rows that store the configuration and its history. */
public final class ConfigurationRecords {

  /** Key of the row that stores the active version. */
  public static final String ROW = "configuration";

  /** Schema version that this build writes, and the highest that it reads. */
  public static final int SCHEMA_VERSION = 1;

  private ConfigurationRecords() {}

  /**
   * Parses the row of the active version.
   *
   * @throws ResultCodeException with {@link ResultCode#UNREADABLE_CONFIGURATION} if the row is
   *     damaged or its schema is not supported
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

  /** Parses a row of the history. */
  static ConfigurationVersion parseHistory(TableRow row) {
    try {
      return ConfigurationVersion.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw unreadable(row.version(), "of the history is damaged", e);
    }
  }

  /**
   * Checks that this build supports the schema of a record.
   *
   * @throws ResultCodeException with {@link ResultCode#UNREADABLE_CONFIGURATION} if it does not
   */
  public static void requireSupportedSchema(long version, ConfigurationRecord record) {
    int schema = record.getSchema();
    if (schema < 1 || schema > SCHEMA_VERSION) {
      String reason = "has schema " + schema + ", but this build supports up to " + SCHEMA_VERSION;
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
