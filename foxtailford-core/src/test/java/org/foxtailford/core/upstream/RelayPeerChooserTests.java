package org.foxtailford.core.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the choice of the entry VM that serves a request of one that is cut off. */
public class RelayPeerChooserTests {

  private static final long SEED = 5;

  private long nowMs;
  private Random random;
  private RelayPeerChooser chooser;

  private record Peer(boolean local, RelayPeer fitness) {}

  @BeforeMethod
  public void begin() {
    nowMs = 10_000;
    random = new Random(SEED);
    chooser = new RelayPeerChooser(() -> nowMs, random::nextDouble);
  }

  @Test
  public void nearPeerIsChosenUnlessItHasMoreThanTwiceTheLoad() {
    Peer near = peer(true);
    Peer remote = peer(false);
    assertThat(choose(List.of(near, remote))).contains(near);
    near.fitness().recordStart();
    near.fitness().recordStart();
    assertThat(choose(List.of(near, remote))).contains(remote);
  }

  @Test
  public void avoidedPeerIsLeftOut() {
    Peer near = peer(true);
    Peer remote = peer(false);
    near.fitness().avoidUntil(nowMs + 100);
    assertThat(choose(List.of(near, remote))).contains(remote);
    nowMs += 100;
    assertThat(choose(List.of(near, remote))).contains(near);
  }

  @Test
  public void peerThatStatedThatItIsCutOffIsLeftOutUntilItStatesOtherwise() {
    Peer near = peer(true);
    Peer remote = peer(false);
    near.fitness().recordCutOff(nowMs);
    assertThat(choose(List.of(near, remote))).contains(remote);
    nowMs += RelayPeerChooser.STATEMENT_MS;
    assertThat(chooseForLast(List.of(near, remote))).as("no trial of it").contains(remote);
    assertThat(choose(List.of(near, remote))).as("trial").contains(near);
    near.fitness().recordStart();
    nowMs += RelayPeerChooser.TRIAL_INTERVAL_MS;
    assertThat(choose(List.of(near, remote))).as("during the trial").contains(remote);
    near.fitness().recordEnd();
    near.fitness().recordServed(nowMs);
    assertThat(choose(List.of(near, remote))).as("after the trial").contains(near);
  }

  /** Guards against a peer that is left out until a long answer ends that was begun before. */
  @Test
  public void peerWithAnOldRequestInFlightIsTried() {
    Peer near = peer(true);
    near.fitness().recordStart();
    near.fitness().recordCutOff(nowMs);
    nowMs += RelayPeerChooser.STATEMENT_MS;
    assertThat(choose(List.of(near))).contains(near);
  }

  /** Guards against a request from before the cut that makes a peer look sound. */
  @Test
  public void answerToAnEarlierRequestDoesNotEndTheStatement() {
    Peer near = peer(true);
    Peer remote = peer(false);
    near.fitness().recordCutOff(nowMs);
    near.fitness().recordServed(nowMs - 1);
    assertThat(choose(List.of(near, remote))).contains(remote);
  }

  /** Guards against a request that is refused since the only peer for it was not tried. */
  @Test
  public void lastAttemptIsATrialIfNoOtherPeerIsLeft() {
    Peer near = peer(true);
    near.fitness().recordCutOff(nowMs);
    nowMs += RelayPeerChooser.STATEMENT_MS;
    assertThat(chooseForLast(List.of(near))).contains(near);
  }

  @Test
  public void cutOffPeersAreTriedOneByOne() {
    List<Peer> peers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      Peer peer = peer(true);
      peer.fitness().recordCutOff(nowMs + i);
      peers.add(peer);
    }
    nowMs += RelayPeerChooser.STATEMENT_MS + peers.size();
    assertThat(choose(peers)).as("the statement that is oldest").contains(peers.get(0));
    assertThat(choose(peers)).as("within the interval").isEmpty();
    peers.get(0).fitness().recordCutOff(nowMs);
    nowMs += RelayPeerChooser.TRIAL_INTERVAL_MS;
    assertThat(choose(peers)).contains(peers.get(1));
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{29, 56, 0}, {29, 56, 27}, {29, 56, 54}, {8, 1, 0}};
  }

  // Of 85 VMs, those of one data centre were cut off: they relayed to each other only.
  @Test(dataProvider = "fleets")
  public void fewRequestsGoToPeersThatAreCutOffToo(int near, int remote, int remoteCutOff) {
    List<Peer> peers = new ArrayList<>();
    for (int i = 0; i < near + remote; i++) {
      peers.add(peer(i < near));
    }
    List<Peer> sound = peers.subList(near + remoteCutOff, near + remote);
    int requests = 0;
    int refusals = 0;
    long beganMs = nowMs;
    for (long endMs = nowMs + 10_000; nowMs < endMs; nowMs += 40) {
      requests++;
      List<Peer> untried = new ArrayList<>(peers);
      Optional<Peer> chosen = choose(untried);
      while (chosen.isPresent() && !sound.contains(chosen.get())) {
        refusals++;
        chosen.get().fitness().recordCutOff(nowMs);
        untried.remove(chosen.get());
        chosen = choose(untried);
      }
      assertThat(chosen).as("peer that can serve request %d", requests).isPresent();
      chosen.get().fitness().recordServed(nowMs);
    }
    long trials = (nowMs - beganMs) / RelayPeerChooser.TRIAL_INTERVAL_MS;
    int cutOff = near + remoteCutOff;
    assertThat(refusals).as("refusals of %d requests", requests).isLessThan((int) trials + cutOff);
  }

  private static Peer peer(boolean local) {
    return new Peer(local, new RelayPeer());
  }

  private Optional<Peer> choose(List<Peer> peers) {
    return chooser.choose(peers, Peer::fitness, Peer::local, true);
  }

  /** Chooses for a request that can't be sent to one more peer. */
  private Optional<Peer> chooseForLast(List<Peer> peers) {
    return chooser.choose(peers, Peer::fitness, Peer::local, false);
  }
}
