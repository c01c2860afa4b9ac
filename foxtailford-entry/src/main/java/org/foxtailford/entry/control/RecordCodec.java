package org.foxtailford.entry.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.schema.entry.LeaderRecord;
import org.foxtailford.schema.entry.MemberRecord;
import org.foxtailford.schema.entry.RangeMapRecord;
import org.foxtailford.schema.entry.RangeRecord;
import org.foxtailford.schema.entry.StoredRow;
import org.foxtailford.schema.entry.TableRows;

/** Turns rows of the system's tables into what they mean, and back. */
final class RecordCodec {

  private RecordCodec() {}

  static LeaderRecord leader(Row row) {
    try {
      return LeaderRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRowException("the leader's row can't be read", e);
    }
  }

  static MemberRecord member(Row row) {
    try {
      return MemberRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRowException("the row of member " + row.key() + " can't be read", e);
    }
  }

  static RangeMap ranges(Row row) {
    try {
      List<RangeAssignment> assignments = new ArrayList<>();
      for (RangeRecord range : RangeMapRecord.parseFrom(row.value()).getRangesList()) {
        assignments.add(
            new RangeAssignment(
                new KeyRange(range.getFirst(), range.getLast()),
                new RangeOwner(range.getUpstream(), range.getBornMs()),
                range.getFence()));
      }
      return new RangeMap(row.version(), assignments);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new UnreadableRowException("the owners of " + row.key() + " can't be read", e);
    }
  }

  static byte[] ranges(String service, Collection<RangeAssignment> assignments) {
    RangeMapRecord.Builder record = RangeMapRecord.newBuilder().setService(service);
    for (RangeAssignment assignment : assignments) {
      record.addRanges(
          RangeRecord.newBuilder()
              .setFirst(assignment.range().first())
              .setLast(assignment.range().last())
              .setUpstream(assignment.owner().upstream())
              .setBornMs(assignment.owner().bornMs())
              .setFence(assignment.fence()));
    }
    return record.build().toByteArray();
  }

  static TableRows toMessage(String table, long version, Collection<Row> rows) {
    TableRows.Builder message = TableRows.newBuilder().setTable(table).setVersion(version);
    for (Row row : rows) {
      message.addRows(
          StoredRow.newBuilder()
              .setKey(row.key())
              .setValue(ByteString.copyFrom(row.value()))
              .setVersion(row.version())
              .setDeleted(row.deleted()));
    }
    return message.build();
  }

  static RowPage toPage(TableRows message) {
    List<Row> rows = new ArrayList<>();
    for (StoredRow row : message.getRowsList()) {
      rows.add(
          new Row(row.getKey(), row.getValue().toByteArray(), row.getVersion(), row.getDeleted()));
    }
    return new RowPage(rows, message.getVersion(), false);
  }
}
