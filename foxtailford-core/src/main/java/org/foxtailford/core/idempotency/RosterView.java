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
 * Read-only view of a roster that determines which members hold the record of a request id.
 * Immutable.
 *
 * <p>The holders are chosen by rendezvous hashing and spread over as many data centres as possible,
 * so that of three holders in three data centres the loss of a data centre takes only one.
 */
public final class RosterView {

  /** Number of holders of each record, unless the roster has fewer members. */
  public static final int REPLICATION_FACTOR = 3;

  private static final LongHashFunction HASH_FUNCTION = LongHashFunction.xx3();

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

  /**
   * Returns the holders of a record. Every entry VM computes the same ones from the same roster.
   * Empty if the roster has no members.
   */
  public List<RecordMember> holders(String key) {
    return holders(members(), key);
  }

  /** Returns the holders of a record under the previous roster version. */
  public List<RecordMember> previousHolders(String key) {
    return holders(previousMembers(), key);
  }

  /** Returns how many of the given number of holders must grant a claim: a majority. */
  public static int quorum(int holders) {
    return holders / 2 + 1;
  }

  /** Returns the key under which the record of a request id is stored. */
  public static String recordKey(String service, String requestId) {
    return service + '/' + requestId;
  }

  private static List<RecordMember> holders(List<RecordMember> members, String key) {
    long hash = HASH_FUNCTION.hashChars(key);
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
      for (List<RecordMember> dataCentreMembers : byDataCentre.values()) {
        if (rank < dataCentreMembers.size() && holders.size() < copies) {
          holders.add(dataCentreMembers.get(rank));
        }
      }
    }
    return holders;
  }

  private static long score(long hash, String name) {
    return HASH_FUNCTION.hashLong(hash ^ HASH_FUNCTION.hashChars(name));
  }
}
