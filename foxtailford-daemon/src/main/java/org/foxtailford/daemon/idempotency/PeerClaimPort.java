package org.foxtailford.daemon.idempotency;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.idempotency.ClaimPort;
import org.foxtailford.core.idempotency.RecordHolder;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RecordMember;

/**
 * Sends claims to record holders over peer links, and to the holder in this process by direct call.
 * Thread-safe.
 */
final class PeerClaimPort implements ClaimPort {

  private static final int ANSWER_TIMEOUT_MS = 300;

  private final RecordMember self;
  private final RecordHolder localHolder;
  private final PeerNetwork peers;

  PeerClaimPort(RecordMember self, RecordHolder localHolder, PeerNetwork peers) {
    this.self = self;
    this.localHolder = localHolder;
    this.peers = peers;
  }

  @Override
  public CompletableFuture<ClaimAnswer> claim(RecordMember holder, ClaimRequest request) {
    if (holder.equals(self)) {
      return CompletableFuture.completedFuture(localHolder.claim(request));
    }
    return findLink(holder)
        .map(link -> link.claim(request, ANSWER_TIMEOUT_MS))
        .orElseGet(() -> unreachable(holder));
  }

  @Override
  public void reportEnd(RecordMember holder, ClaimEnd end) {
    if (holder.equals(self)) {
      localHolder.recordEnd(end);
    } else {
      findLink(holder)
          .ifPresent(link -> link.send(PeerFrame.newBuilder().setClaimEnd(end).build()));
    }
  }

  /**
   * Requests a page of records from a member; the page also says up to which roster version the
   * member is settled. Fails with {@link ResultCode#RECORDS_UNREACHABLE} if there is no link to it.
   */
  CompletableFuture<HandOverPage> requestHandover(RecordMember source, HandOverRequest request) {
    if (source.equals(self)) {
      return CompletableFuture.completedFuture(localHolder.handOver(request));
    }
    return findLink(source)
        .map(link -> link.requestHandover(request, ANSWER_TIMEOUT_MS))
        .orElseGet(() -> unreachable(source));
  }

  /** Returns the link to a member, or empty if there is none or its VM runs another process. */
  private Optional<PeerLink> findLink(RecordMember member) {
    return peers
        .linkTo(member.getVm())
        .filter(
            link ->
                link.remote()
                    .filter(identity -> identity.bootId() == member.getBootId())
                    .isPresent());
  }

  private static <T> CompletableFuture<T> unreachable(RecordMember member) {
    return CompletableFuture.failedFuture(
        new ResultCodeException(
            ResultCode.RECORDS_UNREACHABLE, "no link to record holder " + member.getVm()));
  }
}
