package org.foxtailford.entry.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.flogger.LogContext;
import com.google.common.flogger.MetadataKey;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.LoggerBackend;
import com.google.common.flogger.backend.Metadata;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.foxtailford.core.util.Assert;

/** Formats log statements as lines of JSON and adds them to the log's queue. */
final class JsonLogBackend extends LoggerBackend {

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int MAX_TEXT_LENGTH = 300;

  private final String name;
  private final JsonLog log;

  JsonLogBackend(String name, JsonLog log) {
    this.name = Assert.notNull(name, "name");
    this.log = Assert.notNull(log, "log");
  }

  @Override
  public String getLoggerName() {
    return name;
  }

  @Override
  public boolean isLoggable(Level level) {
    return level.intValue() >= log.level().intValue();
  }

  @Override
  public void log(LogData data) {
    ByteArrayOutputStream line = new ByteArrayOutputStream(320);
    try (JsonGenerator json = FACTORY.createGenerator(line)) {
      long timeMs = TimeUnit.NANOSECONDS.toMillis(data.getTimestampNanos());
      writeStart(json, timeMs, data.getLevel(), message(data));
      Metadata metadata = data.getMetadata();
      for (int i = 0; i < metadata.size(); i++) {
        writeField(json, metadata.getKey(i), metadata.getValue(i));
      }
      json.writeEndObject();
      json.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException("failed to format a log line", e);
    }
    log.queue().add(line.toByteArray(), data.getLevel().intValue() <= Level.INFO.intValue());
  }

  private static void writeStart(JsonGenerator json, long timeMs, Level level, String event)
      throws IOException {
    json.writeStartObject();
    json.writeNumberField("time", timeMs);
    json.writeStringField("level", level.getName());
    json.writeStringField("process", JsonLog.process());
    json.writeStringField("event", event);
  }

  /** Returns the line that states how many lines were dropped. */
  static byte[] dropped(LineQueue.Dropped dropped) {
    ByteArrayOutputStream line = new ByteArrayOutputStream(160);
    try (JsonGenerator json = FACTORY.createGenerator(line)) {
      writeStart(json, System.currentTimeMillis(), Level.WARNING, "log lines dropped");
      json.writeNumberField("routine", dropped.routine());
      json.writeNumberField("failures", dropped.failures());
      json.writeEndObject();
      json.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException("failed to format the line of dropped lines", e);
    }
    return line.toByteArray();
  }

  private static String message(LogData data) {
    if (data.getTemplateContext() == null) {
      return truncate(String.valueOf(data.getLiteralArgument()));
    }
    return truncate(
        BaseMessageFormatter.appendFormattedMessage(data, new StringBuilder()).toString());
  }

  private static String truncate(String text) {
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
  }

  private static void writeField(JsonGenerator json, MetadataKey<?> key, Object value)
      throws IOException {
    if (key.equals(LogContext.Key.LOG_CAUSE)) {
      writeCause(json, (Throwable) value);
    } else if (value instanceof Long) {
      json.writeNumberField(key.getLabel(), (Long) value);
    } else if (value instanceof String) {
      json.writeStringField(key.getLabel(), truncate((String) value));
    }
  }

  private static void writeCause(JsonGenerator json, Throwable cause) throws IOException {
    json.writeStringField("cause", truncate(cause.toString()));
    StackTraceElement[] trace = cause.getStackTrace();
    if (trace.length > 0) {
      json.writeStringField("causeAt", trace[0].toString());
    }
  }

  @Override
  public void handleError(RuntimeException error, LogData badData) {
    System.err.println("failed to format a log line: " + error);
  }
}
