package org.foxtailford.core.idempotency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;

/**
 * Tells which members of a roster hold the record of a request id. Immutable.
 *
 * <p>The holders are chosen by rendezvous hash, in as many data centres as there are, so that the
 * loss of one data centre takes one of three holders.
 */
public final class RosterView {

  /** Members that hold one record, if there are as many. */
  public static final int REPLICATION_FACTOR = 3;

  private static final LongHashFunction XXH3 = LongHashFunction.xx3();

  private final RecordRoster roster;

  public RosterView(RecordRoster roster) {
    this.roster = Assert.notNull(roster, "roster");
  }

  public RecordRoster roster() {
    return roster;
  }

  public long version() {
    return roster.getVersion();
  }

  public List<RecordMember> members() {
    return roster.getMembersList();
  }

  public List<RecordMember> previousMembers() {
    return roster.getPreviousList();
  }

  /** Returns the holders of a record, the same on every entry VM. */
  public List<RecordMember> holders(String key) {
    return holders(members(), key);
  }

  /** Returns those that held a record in the version before. */
  public List<RecordMember> previousHolders(String key) {
    return holders(previousMembers(), key);
  }

  /** Returns the number of holders that have to grant a claim. */
  public static int quorum(int holders) {
    return holders / 2 + 1;
  }

  /** Returns the key of a request id's record. */
  public static String recordKey(String service, String requestId) {
    return service + '/' + requestId;
  }

  private static List<RecordMember> holders(List<RecordMember> members, String key) {
    long hash = XXH3.hashChars(key);
    Map<Long, List<RecordMember>> byDataCentre =
        members.stream()
            .sorted(Comparator.comparingLong(member -> score(hash, member.getVm())))
            .collect(
                Collectors.groupingBy(
                    member -> score(hash, member.getDataCentre()),
                    TreeMap::new,
                    Collectors.toList()));
    List<RecordMember> holders = new ArrayList<>();
    int copies = Math.min(REPLICATION_FACTOR, members.size());
    for (int rank = 0; holders.size() < copies; rank++) {
      for (List<RecordMember> local : byDataCentre.values()) {
        if (rank < local.size() && holders.size() < copies) {
          holders.add(local.get(rank));
        }
      }
    }
    return holders;
  }

  private static long score(long hash, String name) {
    return XXH3.hashLong(hash ^ XXH3.hashChars(name));
  }
}
