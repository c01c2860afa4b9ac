package org.foxtailford.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.settings.EntrySettings;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.schema.Endpoint;

/**
 * Runs an entry VM for a moment on loopback against answers from a file, so that the build can keep
 * its loaded classes in an archive: a start then takes a fraction of the processor time.
 */
final class EntryRehearsal {

  /** Time for the VM to learn and to own keys, in milliseconds. */
  private static final long LEARN_MS = 4500;

  private static final long CALL_MS = 3000;
  private static final int ROUNDS = 5;
  private static final String UPSTREAM_MARK = "{{upstream}}";
  private static final Pattern BASE64_MARK = Pattern.compile("<<base64:(.*?)>>");

  private final JsonNode script;
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpLimits limits = new HttpLimits(8 << 10, 1 << 20);

  EntryRehearsal(Path file) throws IOException {
    script = new ObjectMapper().readTree(Files.readAllBytes(file));
  }

  /** Answers each request with the first answer of the script whose beginning fits. */
  private final class Script implements HttpExchangeHandler {

    private final JsonNode answers;
    private final String upstream;

    Script(JsonNode answers, String upstream) {
      this.answers = Assert.notNull(answers, "answers");
      this.upstream = Assert.notNull(upstream, "upstream");
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      String line = exchange.method() + " " + exchange.uri();
      for (JsonNode answer : answers) {
        if (line.startsWith(answer.path("request").asText())) {
          HttpHeaders headers = new DefaultHttpHeaders();
          answer
              .path("headers")
              .properties()
              .forEach(field -> headers.set(field.getKey(), field.getValue().asText()));
          String body = answer.path("body").asText().replace(UPSTREAM_MARK, upstream);
          byte[] bytes = encoded(body).getBytes(StandardCharsets.UTF_8);
          return CompletableFuture.completedFuture(
              new HttpAnswer(answer.path("status").asInt(200), headers, bytes));
        }
      }
      return CompletableFuture.completedFuture(refuse(ResultCode.MALFORMED_REQUEST, line));
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return HttpAnswer.text(404, "text/plain", message);
    }
  }

  /** Replaces the marked parts by their base64. */
  private static String encoded(String body) {
    return BASE64_MARK
        .matcher(body)
        .replaceAll(
            part ->
                Base64.getEncoder().encodeToString(part.group(1).getBytes(StandardCharsets.UTF_8)));
  }

  /** Plays the script and ends. */
  void play() throws IOException, InterruptedException {
    List<UpstreamAddress> free = freeAddresses(5);
    serve("upstream", free.get(0), free.get(0).toString());
    serve("store", free.get(1), free.get(0).toString());
    EntrySettings settings =
        new EntrySettings(
            "rehearsal",
            script.path("dataCentre").asText(),
            free.get(2),
            free.get(3),
            free.get(4),
            List.of(),
            free.get(1),
            0,
            1,
            100,
            new EntrySettings.Bounds(0.2, 10, 10_000, 1, 1, 10_000, 1000));
    EntryVm vm = new EntryVm(settings);
    vm.start();
    TimeUnit.MILLISECONDS.sleep(LEARN_MS);
    try (PooledHttpClient client = new PooledHttpClient(loops, 2, 1 << 20)) {
      for (int round = 0; round < ROUNDS; round++) {
        for (JsonNode request : script.path("requests")) {
          send(client, free.get(2), request);
        }
        send(client, free.get(3), script.path("readiness"));
      }
    }
    vm.stop().join();
    vm.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void serve(String part, UpstreamAddress address, String upstream) {
    new HttpServer(loops, limits, new Script(script.path(part), upstream)).bind(endpoint(address));
  }

  private static void send(PooledHttpClient client, UpstreamAddress to, JsonNode request) {
    HttpHeaders headers = new DefaultHttpHeaders();
    request
        .path("headers")
        .properties()
        .forEach(field -> headers.set(field.getKey(), field.getValue().asText()));
    HttpExchange exchange =
        new HttpExchange(
            HttpMethod.valueOf(request.path("method").asText("GET")),
            request.path("path").asText("/"),
            headers,
            request.path("body").asText().getBytes(StandardCharsets.UTF_8));
    try {
      HttpAnswer answer = client.send(endpoint(to), exchange, CALL_MS).join();
      System.out.println("rehearsal: " + exchange.uri() + " " + answer.status());
    } catch (CompletionException e) {
      System.out.println("rehearsal: " + exchange.uri() + " " + e);
    }
  }

  private static Endpoint endpoint(UpstreamAddress address) {
    return Endpoint.newBuilder().setHost(address.host()).setPort(address.port()).build();
  }

  private static List<UpstreamAddress> freeAddresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<UpstreamAddress> addresses = new ArrayList<>();
    InetAddress loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, loopback);
      sockets.add(socket);
      addresses.add(new UpstreamAddress(loopback.getHostAddress(), socket.getLocalPort()));
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return addresses;
  }
}
