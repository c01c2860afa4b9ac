package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;

/** Sends configuration changes with what identifies them. */
final class ChangeSender {

  private static final String PATH = "/v1/configuration";
  private static final int MAX_EDITS = 10;

  private final OperatorClient client;
  private final CommandIo io;
  private final String who;
  private final String note;
  private final boolean force;

  ChangeSender(OperatorClient client, CommandIo io, String who, String note, boolean force) {
    this.client = Assert.notNull(client, "client");
    this.io = Assert.notNull(io, "io");
    this.who = Assert.hasLength(who, "who");
    this.note = Assert.notNull(note, "note");
    this.force = force;
  }

  /** Sends a document that was made from a version. */
  OperatorReply apply(String document, long baseVersion) {
    Map<String, String> headers = new TreeMap<>();
    headers.put("If-Match", "\"" + baseVersion + "\"");
    headers.put("Foxtail-Write-Id", Long.toHexString(io.writeIds().getAsLong()));
    headers.put("Foxtail-Changed-At-Ms", Long.toString(io.epochMs().getAsLong()));
    headers.put("Foxtail-Operator", headerText(who));
    if (!note.isEmpty()) {
      headers.put("Foxtail-Note", headerText(note));
    }
    return client.put(PATH + (force ? "?force=true" : ""), document, headers);
  }

  private static String headerText(String text) {
    return text.replaceAll("[^\\x20-\\x7e]", "?").strip();
  }

  /**
   * Changes one item of the stored document, again if another operator was first and left that item
   * as it was.
   *
   * @param list name of the list, such as {@code vms}
   * @param name name of the item; it is added if the list lacks it
   * @param edit changes the item
   */
  OperatorReply edit(String list, String name, Consumer<ObjectNode> edit) {
    Optional<JsonNode> firstSeen = Optional.empty();
    for (int attempt = 1; ; attempt++) {
      OperatorReply stored = client.get(PATH);
      ObjectNode document = stored.body().deepCopy();
      ObjectNode item = item(document, list, name);
      JsonNode before = firstSeen.orElse(item.deepCopy());
      firstSeen = Optional.of(before);
      if (!before.equals(item)) {
        throw touched(list, name);
      }
      edit.accept(item);
      try {
        return apply(document.toString(), stored.version());
      } catch (OperatorReplyException e) {
        boolean conflict = e.code() == ResultCode.CONFIGURATION_CONFLICT;
        if (!conflict || attempt == MAX_EDITS) {
          throw e;
        }
        io.err().println("another change came first; trying again on the new version");
      }
    }
  }

  private static ResultCodeException touched(String list, String name) {
    return new ResultCodeException(
        ResultCode.CONFIGURATION_CONFLICT,
        "another operator has just changed " + list + "[" + name + "]; look at it and try again");
  }

  private static ObjectNode item(ObjectNode document, String list, String name) {
    for (JsonNode item : document.withArray(list)) {
      if (item.path("name").asText().equals(name)) {
        return (ObjectNode) item;
      }
    }
    return document.withArray(list).addObject().put("name", name);
  }
}
