package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;

/** Prints a list of the operators' interface as a table. */
final class ListCommand extends AbstractCommand {

  private final String resource;
  private final String list;
  private final List<String> fields;

  /**
   * Creates the command.
   *
   * @param resource path of the list
   * @param list name of the list in the answer
   * @param fields fields that are shown, in order
   */
  ListCommand(String resource, String list, String... fields) {
    this.resource = resource;
    this.list = list;
    this.fields = List.of(fields);
  }

  @Override
  String usage() {
    return "";
  }

  @Override
  ExitStatus run(CommandIo io) {
    arguments(0);
    JsonNode body = client(io).get(resource).body();
    if (printedAsJson(io, body)) {
      return ExitStatus.DONE;
    }
    TextTable table = new TextTable(fields.stream().map(ListCommand::title).toArray(String[]::new));
    for (JsonNode item : body.path(list)) {
      table.add(fields.stream().map(field -> text(item, field)).toArray(String[]::new));
    }
    table.print(io.out());
    return ExitStatus.DONE;
  }

  private static String title(String field) {
    return field.replaceAll("([A-Z])", "-$1").toUpperCase(Locale.ROOT);
  }
}
