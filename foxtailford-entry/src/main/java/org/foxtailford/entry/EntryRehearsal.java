package org.foxtailford.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
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
import org.foxtailford.net.tcp.ClosingEventLoopGroup;
import org.foxtailford.schema.Endpoint;

/**
 * Training run for a class data archive: runs an entry VM on loopback for a few seconds against
 * answers from a script file. With the archive, a start takes a fraction of the processor time.
 */
final class EntryRehearsal {

  /** Time for the VM to receive its configuration and to grant keys, in milliseconds. */
  private static final long STARTUP_MS = 4500;

  private static final long CALL_TIMEOUT_MS = 3000;
  private static final int ROUNDS = 5;
  private static final String UPSTREAM_PLACEHOLDER = "{{upstream}}";
  private static final Pattern BASE64_PLACEHOLDER = Pattern.compile("<<base64:(.*?)>>");

  private final JsonNode script;
  private final EventLoopGroup loops = new ClosingEventLoopGroup(1);
  private final HttpLimits limits = new HttpLimits(8 << 10, 1 << 20);

  EntryRehearsal(Path file) throws IOException {
    script = new ObjectMapper().readTree(Files.readAllBytes(file));
  }

  /** Answers each request with the script's first answer whose prefix matches the request line. */
  private final class ScriptHandler implements HttpExchangeHandler {

    private final JsonNode answers;
    private final String upstream;

    ScriptHandler(JsonNode answers, String upstream) {
      this.answers = Assert.notNull(answers, "answers");
      this.upstream = Assert.notNull(upstream, "upstream");
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      String requestLine = exchange.method() + " " + exchange.uri();
      for (JsonNode answer : answers) {
        if (requestLine.startsWith(answer.path("request").asText())) {
          HttpHeaders headers = new DefaultHttpHeaders();
          answer
              .path("headers")
              .properties()
              .forEach(field -> headers.set(field.getKey(), field.getValue().asText()));
          String body = answer.path("body").asText().replace(UPSTREAM_PLACEHOLDER, upstream);
          byte[] bytes = encodeBase64Parts(body).getBytes(StandardCharsets.UTF_8);
          return CompletableFuture.completedFuture(
              new HttpAnswer(answer.path("status").asInt(200), headers, bytes));
        }
      }
      return CompletableFuture.completedFuture(refuse(ResultCode.MALFORMED_REQUEST, requestLine));
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return HttpAnswer.text(404, "text/plain", message);
    }
  }

  /** Replaces each {@code <<base64:text>>} by the Base64 encoding of its text. */
  private static String encodeBase64Parts(String body) {
    return BASE64_PLACEHOLDER
        .matcher(body)
        .replaceAll(
            part ->
                Base64.getEncoder().encodeToString(part.group(1).getBytes(StandardCharsets.UTF_8)));
  }

  /** Runs the script's requests against a new entry VM and stops it. */
  void run() throws IOException, InterruptedException {
    List<UpstreamAddress> addresses = freeAddresses(5);
    serve("upstream", addresses.get(0), addresses.get(0).toString());
    serve("store", addresses.get(1), addresses.get(0).toString());
    EntrySettings settings =
        new EntrySettings(
            "rehearsal",
            script.path("dataCentre").asText(),
            addresses.get(2),
            addresses.get(3),
            addresses.get(4),
            List.of(),
            addresses.get(1),
            0,
            1,
            100,
            true,
            new EntrySettings.Bounds(0.2, 10, 10_000, 1, 1, 10_000, 2000, 1000),
            EntrySettings.TenantBounds.DEFAULT,
            false);
    EntryVm vm = new EntryVm(settings);
    vm.start();
    TimeUnit.MILLISECONDS.sleep(STARTUP_MS);
    try (PooledHttpClient client = new PooledHttpClient(loops, 2, 1 << 20)) {
      for (int round = 0; round < ROUNDS; round++) {
        for (JsonNode request : script.path("requests")) {
          send(client, addresses.get(2), request);
        }
        send(client, addresses.get(3), script.path("readiness"));
      }
    }
    vm.stop().join();
    vm.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void serve(String part, UpstreamAddress address, String upstream) {
    new HttpServer(loops, limits, new ScriptHandler(script.path(part), upstream))
        .bind(endpoint(address));
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
      HttpAnswer answer = client.send(endpoint(to), exchange, CALL_TIMEOUT_MS).join();
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
