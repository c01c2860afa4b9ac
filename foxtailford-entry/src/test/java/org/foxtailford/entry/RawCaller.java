package org.foxtailford.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.foxtailford.core.upstream.UpstreamAddress;

/** Caller that writes any bytes, and reads only when it is told to. */
final class RawCaller implements AutoCloseable {

  /** Small, so that the kernel does not take the answer in the caller's place. */
  private static final int RECEIVE_BUFFER_BYTES = 4096;

  private static final int READ_TIMEOUT_MS = 8000;

  private final Socket socket = new Socket();

  RawCaller(UpstreamAddress address) throws IOException {
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    socket.connect(new InetSocketAddress(address.host(), address.port()), READ_TIMEOUT_MS);
  }

  /** Sends a head without its last empty line. */
  RawCaller begin(String method, String path, String id, String... fields) throws IOException {
    String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + id;
    return write(head + "\r\n" + String.join("", fields));
  }

  RawCaller write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return this;
  }

  RawCaller write(int bytes) throws IOException {
    return write("x".repeat(bytes));
  }

  /** Reads the head of an answer; empty if the connection closes before. */
  String readHead() throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    InputStream in = socket.getInputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int read = readOrEnd(in);
      if (read < 0) {
        return "";
      }
      head.write(read);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads bytes of a body; returns whether all came before the connection closed. */
  boolean readBody(int bytes) throws IOException {
    InputStream in = socket.getInputStream();
    for (int i = 0; i < bytes; i++) {
      if (readOrEnd(in) < 0) {
        return false;
      }
    }
    return true;
  }

  /** Reads until the connection closes, and returns what came. */
  String readToEnd() throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    InputStream in = socket.getInputStream();
    int read = readOrEnd(in);
    while (read >= 0) {
      all.write(read);
      read = readOrEnd(in);
    }
    return all.toString(StandardCharsets.ISO_8859_1);
  }

  private static int readOrEnd(InputStream in) throws IOException {
    try {
      return in.read();
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      return -1; // reset
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
