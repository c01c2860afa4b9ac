package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.store.TableMirror;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.entry.request.EntryPeer;
import org.foxtailford.schema.entry.LeaderRecord;
import org.foxtailford.schema.entry.LossRecord;
import org.foxtailford.schema.entry.MemberRecord;
import org.foxtailford.schema.entry.RangeMapRecord;
import org.foxtailford.schema.entry.RangeRecord;
import org.foxtailford.schema.entry.RenewalRecord;
import org.foxtailford.schema.entry.StoredRow;
import org.foxtailford.schema.entry.TableRows;

/** Converts rows of the system tables to records and peer messages, and back. Stateless. */
final class RecordCodec {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private RecordCodec() {}

  static LeaderRecord parseLeader(Row row) {
    try {
      return LeaderRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRowException("leader row does not contain a valid LeaderRecord", e);
    }
  }

  static RenewalRecord parseRenewal(Row row) {
    try {
      return RenewalRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRowException("renewal row does not contain a valid RenewalRecord", e);
    }
  }

  /**
   * Returns a leader record.
   *
   * @param earlierGrantsLeftMs time for which leaders before may go on granting, in milliseconds
   */
  static byte[] serializeLeader(KnownLeader leader, boolean resigned, long earlierGrantsLeftMs) {
    return LeaderRecord.newBuilder()
        .setNode(leader.node())
        .setLife(leader.incarnation())
        .setTerm(leader.term())
        .setHost(leader.address().host())
        .setPort(leader.address().port())
        .setResigned(resigned)
        .setEarlierGrantsLeftMs(earlierGrantsLeftMs)
        .build()
        .toByteArray();
  }

  static MemberRecord parseMember(Row row) {
    try {
      return MemberRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRowException(
          "member row " + row.key() + " does not contain a valid MemberRecord", e);
    }
  }

  /** Returns a member as another VM that serves callers; empty if its row doesn't say where. */
  static Optional<EntryPeer> toPeer(Row row) {
    try {
      MemberRecord member = parseMember(row);
      UpstreamAddress callers = new UpstreamAddress(member.getHost(), member.getCallersPort());
      return Optional.of(new EntryPeer(member.getNode(), member.getDataCentre(), callers));
    } catch (UnreadableRowException | IllegalArgumentException e) {
      return Optional.empty(); // skipped, so that the other members stay usable
    }
  }

  static LossRecord parseLoss(Row row) {
    try {
      LossRecord loss = LossRecord.parseFrom(row.value());
      if (loss.getUpstream().isEmpty()) {
        throw new UnreadableRowException("loss row " + row.key() + " names no upstream");
      }
      return loss;
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRowException(
          "loss row " + row.key() + " does not contain a valid LossRecord", e);
    }
  }

  static RangeMap parseRanges(Row row) {
    try {
      List<RangeAssignment> assignments = new ArrayList<>();
      RangeMapRecord record = RangeMapRecord.parseFrom(row.value());
      for (RangeRecord range : record.getRangesList()) {
        assignments.add(toAssignment(range));
      }
      return new RangeMap(row.version().number(), record.getEra(), assignments);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new UnreadableRowException(
          "owners of " + row.key() + " are not a valid RangeMapRecord", e);
    }
  }

  static byte[] serializeRanges(String service, long era, Collection<RangeAssignment> assignments) {
    RangeMapRecord.Builder record = RangeMapRecord.newBuilder().setService(service).setEra(era);
    for (RangeAssignment assignment : assignments) {
      record.addRanges(toRecord(assignment));
    }
    return record.build().toByteArray();
  }

  static RangeRecord toRecord(RangeAssignment assignment) {
    return RangeRecord.newBuilder()
        .setFirst(assignment.range().first())
        .setLast(assignment.range().last())
        .setUpstream(assignment.owner().upstream())
        .setBornMs(assignment.owner().bornMs())
        .setFence(assignment.fence())
        .build();
  }

  /**
   * Converts a record.
   *
   * @throws IllegalArgumentException if the range is invalid
   */
  static RangeAssignment toAssignment(RangeRecord range) {
    return new RangeAssignment(
        new KeyRange(range.getFirst(), range.getLast()),
        new RangeOwner(range.getUpstream(), range.getBornMs()),
        range.getFence());
  }

  /** Returns a message with rows of a copy, all of the copy's era. */
  static TableRows toMessage(TableMirror mirror, Collection<Row> rows, RowPacker packer) {
    TableRows.Builder message =
        TableRows.newBuilder()
            .setTable(mirror.table())
            .setVersion(mirror.version().number())
            .setEra(mirror.version().era())
            .setEraBegin(mirror.eraBegin().number());
    for (Row row : rows) {
      message.addRows(packer.pack(mirror.table(), row));
    }
    return message.build();
  }

  /** Returns the version of the snapshot with which the era of the message's sender began. */
  static StoreVersion eraBegin(TableRows message) {
    return new StoreVersion(message.getEra(), message.getEraBegin());
  }

  /**
   * Returns the rows of a message. If one is unreadable, it is left out and the page's version is
   * 0, so that the copy's version doesn't advance past the missing row.
   */
  static RowPage toPage(TableRows message) {
    List<Row> rows = new ArrayList<>();
    long version = message.getVersion();
    for (StoredRow row : message.getRowsList()) {
      try {
        rows.add(RowPacker.unpack(row, message.getEra()));
      } catch (UnreadableRowException e) {
        version = 0;
        logger
            .atWarning()
            .withCause(e)
            .with(EventFields.TABLE, message.getTable())
            .with(EventFields.VERSION, row.getVersion())
            .log("row from a peer cannot be read");
      }
    }
    return new RowPage(rows, new StoreVersion(message.getEra(), version), message.getSnapshot());
  }
}
