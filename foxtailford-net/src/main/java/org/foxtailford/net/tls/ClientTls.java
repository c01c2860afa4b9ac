package org.foxtailford.net.tls;

import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.File;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLParameters;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/** TLS context for operators' command-line clients. */
public final class ClientTls {

  private ClientTls() {}

  /**
   * Creates a context from PEM files.
   *
   * @param certificateFile the client's certificate chain
   * @param keyFile the client's private key
   * @param trustFile certificates of the accepted authorities
   * @throws ResultCodeException with {@link ResultCode#USAGE} if a file cannot be used
   */
  public static SSLContext context(String certificateFile, String keyFile, String trustFile) {
    try {
      JdkSslContext context =
          (JdkSslContext)
              SslContextBuilder.forClient()
                  .sslProvider(SslProvider.JDK)
                  .keyManager(new File(certificateFile), new File(keyFile))
                  .trustManager(new File(trustFile))
                  .build();
      return context.context();
    } catch (SSLException | IllegalArgumentException e) {
      throw new ResultCodeException(
          ResultCode.USAGE, "the certificate files cannot be used: " + e.getMessage(), e);
    }
  }

  /**
   * Returns the security of connections to an address, which the other side's certificate must
   * name.
   */
  public static ChannelSecurity security(SSLContext context, String host, int port) {
    return channel -> {
      SSLEngine engine = context.createSSLEngine(host, port);
      engine.setUseClientMode(true);
      SSLParameters parameters = engine.getSSLParameters();
      parameters.setEndpointIdentificationAlgorithm("HTTPS");
      engine.setSSLParameters(parameters);
      channel.pipeline().addFirst(new SslHandler(engine));
    };
  }
}
