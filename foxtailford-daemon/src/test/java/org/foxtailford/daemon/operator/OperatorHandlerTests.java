package org.foxtailford.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.Random;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.tls.ClientSubjectHandler;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OperatorHandlerTests {

  private static OperatorHandler handler(boolean certificateRequired) {
    RoutingState state = new RoutingState("a");
    OperatorContext context =
        new OperatorContext(
            "entry-a1",
            state::snapshot,
            new ActiveConfiguration(state::acceptConfiguration),
            new ConfigurationStore(new InMemoryTable()),
            new RequestRouter(new TwoChoicesChooser(new Random(1)), new ServiceLoads(() -> 1)),
            () -> true,
            () -> false,
            Map::of,
            () -> 1,
            certificateRequired,
            () -> {});
    return new OperatorHandler(context, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
  }

  private static HttpAnswer send(boolean certificateRequired, String path, HttpHeaders headers) {
    HttpExchange exchange = new HttpExchange(HttpMethod.GET, path, headers, new byte[0]);
    return handler(certificateRequired).handle(exchange).join();
  }

  private static HttpHeaders clientSubject() {
    return new DefaultHttpHeaders().set(ClientSubjectHandler.HEADER, "CN=asha");
  }

  @DataProvider
  public Object[][] protectedPaths() {
    return new Object[][] {
      {"/v1/configuration"},
      {"/v1/history"},
      {"/v1/status"},
      {"/v1/data-centres"},
      {"/v1/vms"},
      {"/v1/upstreams"},
      {"/v1/slices"},
      {"/v1/owner/menu/dal"},
      {"/v1/why?service=menu&kind=lookup"},
      {"/v1/no-such-resource"},
      {"/v1"}
    };
  }

  @Test(dataProvider = "protectedPaths")
  public void operatorWithoutCertificateIsRefusedWithItsOwnCode(String path) {
    HttpHeaders operatorHeader =
        new DefaultHttpHeaders().set(OperatorRequest.OPERATOR_HEADER, "asha");
    HttpAnswer answer = send(true, path, operatorHeader);
    assertThat(answer.status()).isEqualTo(403);
    assertThat(answer.headers().get(FoxtailHeaders.CODE)).isEqualTo("4007");
    assertThat(answer.headers().get(FoxtailHeaders.EFFECT)).isEqualTo("not-run");
    assertThat(answer.bodyText()).contains(ResultCode.CERTIFICATE_REQUIRED.name());
  }

  @Test
  public void operatorWithCertificateIsAnswered() {
    assertThat(send(true, "/v1/status", clientSubject()).status()).isEqualTo(200);
  }

  @Test
  public void certificateIsOptionalUnlessRequired() {
    assertThat(send(false, "/v1/status", new DefaultHttpHeaders()).status()).isEqualTo(200);
  }

  @Test
  public void healthAndMetricsNeedNoCertificate() {
    assertThat(send(true, "/live", new DefaultHttpHeaders()).status()).isEqualTo(200);
    assertThat(send(true, "/metrics", new DefaultHttpHeaders()).status()).isEqualTo(200);
  }
}
