package org.foxtailford.net.tls;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.ssl.SslHandler;
import javax.net.ssl.SSLPeerUnverifiedException;

/**
 * Sets a header field to the subject of the client's certificate. A value that the client sent
 * itself is removed, so that it cannot claim another identity.
 */
public final class ClientSubjectHandler extends ChannelInboundHandlerAdapter {

  /** Name of the header field that holds the subject; absent without a certificate. */
  public static final String HEADER = "Foxtail-Client-Subject";

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpRequest request) {
      request.headers().remove(HEADER);
      SslHandler ssl = ctx.pipeline().get(SslHandler.class);
      if (ssl != null) {
        addSubject(request, ssl);
      }
    }
    ctx.fireChannelRead(message);
  }

  private static void addSubject(HttpRequest request, SslHandler ssl) {
    try {
      String subject = ssl.engine().getSession().getPeerPrincipal().getName();
      request.headers().set(HEADER, subject);
    } catch (SSLPeerUnverifiedException e) {
      request.headers().remove(HEADER);
    }
  }
}
