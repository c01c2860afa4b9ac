package org.foxtailford.net.tls;

import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.jspecify.annotations.Nullable;

/**
 * TLS for the operators' interface and for peer links, from PEM files that may be replaced while
 * the process runs.
 *
 * <p>New connections use the files as of the last successful reload; files that cannot be used
 * leave the earlier ones in force. A peer is trusted for being signed by an accepted authority; the
 * name in its certificate is not compared with its address, since VMs are replaced at any time.
 * Thread-safe.
 */
public final class TlsContexts {

  private final TlsFiles files;
  private volatile Loaded loaded;
  private volatile TlsFiles.@Nullable Contents rejected;

  /**
   * Loads the files.
   *
   * @throws ResultCodeException with {@link ResultCode#INVALID_SETTINGS} if they cannot be used
   */
  public TlsContexts(TlsFiles files) {
    this.files = Assert.notNull(files, "files");
    try {
      this.loaded = load(files.read());
    } catch (IOException | IllegalArgumentException e) {
      throw new ResultCodeException(
          ResultCode.INVALID_SETTINGS, "$.tls: the files cannot be used: " + e.getMessage(), e);
    }
  }

  /** What a look at the files led to. */
  public enum Reload {
    /** The files are as they were. */
    UNCHANGED,
    /** New connections use the new files. */
    RELOADED,
    /** The files changed and cannot be used; the earlier ones stay in force. */
    REJECTED
  }

  private record Loaded(
      TlsFiles.Contents contents, SslContext operators, SslContext peers, SslContext client) {}

  /** Looks at the files and takes them if they changed. */
  public synchronized Reload reload() {
    TlsFiles.Contents contents = null;
    try {
      contents = files.read();
      if (contents.equals(loaded.contents())) {
        rejected = null;
        return Reload.UNCHANGED;
      }
      if (contents.equals(rejected)) {
        return Reload.UNCHANGED;
      }
      loaded = load(contents);
      rejected = null;
      return Reload.RELOADED;
    } catch (IOException | IllegalArgumentException e) {
      rejected = contents;
      return Reload.REJECTED;
    }
  }

  private static Loaded load(TlsFiles.Contents contents) throws IOException {
    return new Loaded(
        contents,
        serverBuilder(contents).clientAuth(ClientAuth.OPTIONAL).build(),
        serverBuilder(contents).clientAuth(ClientAuth.REQUIRE).build(),
        SslContextBuilder.forClient()
            .keyManager(stream(contents.certificate()), stream(contents.key()))
            .trustManager(stream(contents.trust()))
            .endpointIdentificationAlgorithm(null)
            .build());
  }

  private static SslContextBuilder serverBuilder(TlsFiles.Contents contents) {
    return SslContextBuilder.forServer(stream(contents.certificate()), stream(contents.key()))
        .trustManager(stream(contents.trust()));
  }

  private static InputStream stream(String text) {
    return new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the protection of the operators' listener. A client may come without a certificate, as
   * health checks and metrics scrapers do; one that is not from an accepted authority is rejected.
   */
  public ChannelSecurity operatorListener() {
    return channel -> secure(channel, loaded.operators());
  }

  /** Returns the protection of the peer listener; peers must have a certificate. */
  public ChannelSecurity peerListener() {
    return channel -> secure(channel, loaded.peers());
  }

  /** Returns the protection of links to peers. */
  public ChannelSecurity peerLink() {
    return channel -> secure(channel, loaded.client());
  }

  private static void secure(SocketChannel channel, SslContext context) {
    channel.pipeline().addFirst(context.newHandler(channel.alloc()));
  }
}
