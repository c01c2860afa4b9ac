package org.foxtailford.net.tls;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.ssl.SslHandler;
import javax.net.ssl.SSLPeerUnverifiedException;

/**
 * Tells the subject of the client's certificate in a header field, and removes that field from what
 * the client itself sent.
 */
public final class ClientSubjectHandler extends ChannelInboundHandlerAdapter {

  /** Subject of the client's certificate. */
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
