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

/** Reaches record holders over peer links, and the one in this process directly. Thread-safe. */
final class PeerClaimPort implements ClaimPort {

  private static final int ANSWER_TIMEOUT_MS = 300;

  private final RecordMember self;
  private final RecordHolder local;
  private final PeerNetwork peers;

  PeerClaimPort(RecordMember self, RecordHolder local, PeerNetwork peers) {
    this.self = self;
    this.local = local;
    this.peers = peers;
  }

  @Override
  public CompletableFuture<ClaimAnswer> claim(RecordMember holder, ClaimRequest request) {
    if (holder.equals(self)) {
      return CompletableFuture.completedFuture(local.claim(request));
    }
    return link(holder)
        .map(link -> link.claim(request, ANSWER_TIMEOUT_MS))
        .orElseGet(() -> unreachable(holder));
  }

  @Override
  public void reportEnd(RecordMember holder, ClaimEnd end) {
    if (holder.equals(self)) {
      local.recordEnd(end);
    } else {
      link(holder).ifPresent(link -> link.send(PeerFrame.newBuilder().setClaimEnd(end).build()));
    }
  }

  /** Asks a member for records. */
  CompletableFuture<HandOverPage> handOver(RecordMember source, HandOverRequest request) {
    if (source.equals(self)) {
      return CompletableFuture.completedFuture(local.handOver(request));
    }
    return link(source)
        .map(link -> link.requestHandover(request, ANSWER_TIMEOUT_MS))
        .orElseGet(() -> unreachable(source));
  }

  private Optional<PeerLink> link(RecordMember member) {
    return peers
        .linkTo(member.getVm())
        .filter(link -> link.remote().filter(r -> r.bootId() == member.getBootId()).isPresent());
  }

  private static <T> CompletableFuture<T> unreachable(RecordMember member) {
    return CompletableFuture.failedFuture(
        new ResultCodeException(
            ResultCode.RECORDS_UNREACHABLE, "no link to record holder " + member.getVm()));
  }
}
