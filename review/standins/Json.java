import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON that the store and the instances exchange. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("trailing text at " + json.at);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private char next() {
    space();
    return text.charAt(at);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (next() != '}') {
        String key = (String) value();
        next();
        at++; // colon
        map.put(key, value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (next() != ']') {
        list.add(value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String word = text.substring(start, at);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    }
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        char escaped = text.charAt(at++);
        if (escaped == 'u') {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        } else {
          int index = "bfnrt".indexOf(escaped);
          out.append(index < 0 ? escaped : "\b\f\n\r\t".charAt(index));
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }
}
