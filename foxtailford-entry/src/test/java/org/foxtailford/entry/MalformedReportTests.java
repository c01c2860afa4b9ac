package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.foxtailford.schema.entry.KeyLoad;
import org.foxtailford.schema.entry.PeerReport;
import org.foxtailford.schema.entry.RangeMove;
import org.foxtailford.schema.entry.RangeRecord;
import org.foxtailford.schema.entry.StoredRow;
import org.foxtailford.schema.entry.TableRows;
import org.foxtailford.schema.entry.TableVersion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a malformed report of another entry VM harms nobody but its sender. */
public class MalformedReportTests {

  private EntryTestCluster cluster;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    cluster.addUpstream("k1", "keyed");
    cluster.addUpstream("p1", "plain");
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  private static PeerReport.Builder report() {
    return PeerReport.newBuilder().setNode("vm-2").setLife(1).setHost("127.0.0.1").setPort(9);
  }

  @DataProvider
  public Object[][] malformedReports() {
    return new Object[][] {
      {"no report", "{}".getBytes(StandardCharsets.UTF_8)},
      {"no address", report().setHost("").setPort(-1).build().toByteArray()},
      {
        "negative version",
        report()
            .addWanted(TableVersion.newBuilder().setTable("op").setEra(-1).setVersion(-5))
            .build()
            .toByteArray()
      },
      {
        "unknown table",
        report().addWanted(TableVersion.newBuilder().setTable("none")).build().toByteArray()
      },
      {
        "reversed range",
        report()
            .addMoves(
                RangeMove.newBuilder()
                    .setService("keyed")
                    .setRange(RangeRecord.newBuilder().setFirst(9).setLast(-3)))
            .build()
            .toByteArray()
      },
      {
        "key out of range",
        report()
            .addKeyLoads(KeyLoad.newBuilder().setService("keyed").setKey(-7).setRequests(-1))
            .build()
            .toByteArray()
      },
      {
        "row that can't be inflated",
        report()
            .addPushed(
                TableRows.newBuilder()
                    .setTable("op")
                    .setEra(1)
                    .addRows(StoredRow.newBuilder().setKey("config").setInflatedBytes(7)))
            .build()
            .toByteArray()
      }
    };
  }

  @Test(dataProvider = "malformedReports", timeOut = 40_000)
  public void vmGoesOnServingAndLeading(String name, byte[] message) throws Exception {
    EntryTestCluster.await("key has an owner", () -> cluster.upstream("k1").holds(5));
    for (int i = 0; i < 3; i++) {
      try {
        cluster.report(0, message).join();
      } catch (CompletionException e) {
        assertThat(e).as("the sender's call may fail").isNotNull();
      }
    }
    Thread.sleep(4000); // longer than a grant, which the leader has to renew
    assertThat(cluster.upstream("k1").holds(5)).isTrue();
    assertThat(cluster.get(0, "/safe/a", "after").status()).isEqualTo(200);
    assertThat(cluster.get(0, "/keyed/a", "after").status()).isEqualTo(200);
  }
}
