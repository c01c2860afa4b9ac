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
 * TLS contexts for the operator interface and for peer links, loaded from PEM files that may be
 * replaced while the process runs.
 *
 * <p>New connections use the files as of the last successful reload; if new files cannot be used,
 * the previous ones stay in force. A peer is trusted if its certificate is signed by an accepted
 * authority. The name in the certificate is not compared with the peer's address, since VMs may be
 * replaced at any time. Thread-safe.
 */
public final class TlsContexts {

  private final TlsFiles files;
  private volatile LoadedContexts loaded;
  private volatile TlsFiles.@Nullable Contents rejectedContents;

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

  /** Result of {@link #reload()}. */
  public enum Reload {
    /** The files have not changed since they were last loaded or rejected. */
    UNCHANGED,
    /** New connections use the new files. */
    RELOADED,
    /** The files changed and cannot be used; the previous ones stay in force. */
    REJECTED
  }

  private record LoadedContexts(
      TlsFiles.Contents contents, SslContext operators, SslContext peers, SslContext client) {}

  /** Reads the files, and loads them if they have changed. */
  public synchronized Reload reload() {
    TlsFiles.Contents contents = null;
    try {
      contents = files.read();
      if (contents.equals(loaded.contents())) {
        rejectedContents = null;
        return Reload.UNCHANGED;
      }
      if (contents.equals(rejectedContents)) {
        return Reload.UNCHANGED;
      }
      loaded = load(contents);
      rejectedContents = null;
      return Reload.RELOADED;
    } catch (IOException | IllegalArgumentException e) {
      rejectedContents = contents;
      return Reload.REJECTED;
    }
  }

  private static LoadedContexts load(TlsFiles.Contents contents) throws IOException {
    return new LoadedContexts(
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
   * Returns the security of the operator listener. Client certificates are optional, since health
   * checks and metrics scrapers have none; one that is not signed by an accepted authority is
   * rejected.
   */
  public ChannelSecurity operatorListener() {
    return channel -> secure(channel, loaded.operators());
  }

  /** Returns the security of the peer listener, which requires client certificates. */
  public ChannelSecurity peerListener() {
    return channel -> secure(channel, loaded.peers());
  }

  /** Returns the security of outgoing links to peers. */
  public ChannelSecurity peerLink() {
    return channel -> secure(channel, loaded.client());
  }

  private static void secure(SocketChannel channel, SslContext context) {
    channel.pipeline().addFirst(context.newHandler(channel.alloc()));
  }
}
