import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A message of HTTP/1.1 as read from a connection. */
final class Http {

  final String firstLine;
  final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
  byte[] body = new byte[0];

  private Http(String firstLine) {
    this.firstLine = firstLine;
  }

  String header(String name, String otherwise) {
    return headers.getOrDefault(name, otherwise);
  }

  String method() {
    return firstLine.split(" ")[0];
  }

  String target() {
    return firstLine.split(" ")[1];
  }

  int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }

  boolean closes() {
    return header("Connection", "").toLowerCase(Locale.ROOT).contains("close");
  }

  /** Reads a head; returns null if the connection ends before its first byte. */
  static Http readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Http message = new Http(line);
    for (line = required(in); !line.isEmpty(); line = required(in)) {
      int colon = line.indexOf(':');
      message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
    }
    return message;
  }

  /** Reads the body that the head announces, to its end. */
  void readBody(InputStream in) throws IOException {
    if (header("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      int size = Integer.parseInt(required(in).split(";")[0].strip(), 16);
      while (size > 0) {
        all.write(readFully(in, size));
        required(in);
        size = Integer.parseInt(required(in).split(";")[0].strip(), 16);
      }
      while (!required(in).isEmpty()) {
        // trailers are not used
      }
      body = all.toByteArray();
    } else {
      body = readFully(in, Integer.parseInt(header("Content-Length", "0")));
    }
  }

  /** Reads a whole message; returns null if the connection ends before its first byte. */
  static Http read(InputStream in) throws IOException {
    Http message = readHead(in);
    if (message != null) {
      message.readBody(in);
    }
    return message;
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  private static String required(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("ended within the head");
    }
    return line;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("ended within a line");
      }
      line.write(c);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }
}
