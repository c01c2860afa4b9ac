package org.foxtailford.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Upstream that sends chosen answers a second time, when the next request on their connection is
 * there. It accepts all grants, rejects the first attempt of each request, and runs the next one.
 */
final class RepeatingUpstream implements AutoCloseable {

  private final ServerSocket listener =
      new ServerSocket(0, 128, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
  private final Predicate<String> repeated;
  private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
  private final Set<String> rejected = ConcurrentHashMap.newKeySet();

  /**
   * Creates an upstream.
   *
   * @param repeated chooses the answers that are sent twice, by the status line
   */
  RepeatingUpstream(Predicate<String> repeated) throws IOException {
    this.repeated = repeated;
    startDaemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns how many times each request was run, by request id. */
  Map<String, Integer> runCounts() {
    return Map.copyOf(runCounts);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        startDaemon(() -> serve(socket));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = socket.getOutputStream();
      String late = "";
      String line = in.readLine();
      while (line != null) {
        Map<String, String> fields = readFields(in);
        in.skip(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        out.write(late.getBytes(StandardCharsets.ISO_8859_1));
        String answer = answer(line, fields.getOrDefault("request-id", ""));
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        late = repeated.test(answer.substring(0, answer.indexOf('\r'))) ? answer : "";
        line = in.readLine();
      }
    } catch (IOException e) {
      return; // reset
    }
  }

  private static Map<String, String> readFields(BufferedReader in) throws IOException {
    Map<String, String> fields = new HashMap<>();
    String field = in.readLine();
    while (field != null && !field.isEmpty()) {
      String[] parts = field.split(":", 2);
      fields.put(parts[0].toLowerCase(), parts[1].strip());
      field = in.readLine();
    }
    return fields;
  }

  private String answer(String requestLine, String id) {
    String field = id.isEmpty() ? "" : "Request-Id: " + id + "\r\n";
    String echo = field + "Content-Length: 0\r\n";
    if (requestLine.contains(" /grant ")) {
      return "HTTP/1.1 200 Granted\r\n" + echo + "\r\n";
    } else if (rejected.add(id)) {
      return "HTTP/1.1 503 Full\r\nInstance-Load: 1,0,4,100\r\nNot-Executed: 1\r\n" + echo + "\r\n";
    }
    runCounts.merge(id, 1, Integer::sum);
    return "HTTP/1.1 200 OK\r\nInstance-Load: 1,0,4,100\r\nResponse-Signature: s\r\n"
        + echo
        + "\r\n";
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "repeating upstream");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
