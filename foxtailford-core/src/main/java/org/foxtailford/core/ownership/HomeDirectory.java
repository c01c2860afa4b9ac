package org.foxtailford.core.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.HomeRange;
import org.foxtailford.schema.HomeRanges;

/** Maps each range of each keyed service to its home data centre. Immutable. */
public final class HomeDirectory {

  private static final HomeDirectory EMPTY = new HomeDirectory(Map.of(), Map.of());

  private final Map<String, SliceIndex<HomeRange>> byService;
  private final Map<String, HomeRanges> rows;

  private HomeDirectory(
      Map<String, SliceIndex<HomeRange>> byService, Map<String, HomeRanges> rows) {
    this.byService = byService;
    this.rows = rows;
  }

  /** Returns a directory without services. */
  public static HomeDirectory empty() {
    return EMPTY;
  }

  /**
   * Returns a directory of homes rows.
   *
   * @param rows one row per service
   */
  public static HomeDirectory of(List<HomeRanges> rows) {
    return new HomeDirectory(
        rows.stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    HomeRanges::getService,
                    row ->
                        new SliceIndex<>(
                            row.getRangesList(), range -> SliceRange.of(range.getRange())))),
        rows.stream()
            .collect(Collectors.toUnmodifiableMap(HomeRanges::getService, Function.identity())));
  }

  /**
   * Returns the initial homes of a service: contiguous ranges of its slices, of nearly equal size,
   * one per data centre. If there are fewer slices than data centres, some data centres receive
   * none.
   *
   * @param service name of the service
   * @param slices number of slices into which the hash space is divided
   * @param dataCentres data centres with upstreams of the service, in order
   */
  public static HomeRanges initial(String service, int slices, List<String> dataCentres) {
    HomeRanges.Builder row = HomeRanges.newBuilder().setService(service);
    List<SliceRange> ranges = SliceRange.divide(slices);
    int count = dataCentres.size();
    for (int i = 0; i < count; i++) {
      int from = slices * i / count;
      int to = slices * (i + 1) / count;
      if (from < to) {
        SliceRange range = new SliceRange(ranges.get(from).first(), ranges.get(to - 1).last());
        row.addRanges(
            HomeRange.newBuilder().setRange(range.toValue()).setDataCentre(dataCentres.get(i)));
      }
    }
    return row.build();
  }

  /** Parses a homes row of the table. */
  static HomeRanges parse(TableRow row) {
    try {
      return HomeRanges.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "homes row " + row.key() + " does not contain a valid HomeRanges message", e);
    }
  }

  /** Returns the home data centre of a key, or an empty value if no range contains the key. */
  public Optional<String> home(String service, long keyHash) {
    return range(service, keyHash).map(HomeRange::getDataCentre);
  }

  /**
   * Returns the range that contains a key, with its home and its pending move, or an empty value if
   * no range contains the key.
   */
  public Optional<HomeRange> range(String service, long keyHash) {
    return Optional.ofNullable(byService.get(service)).flatMap(index -> index.find(keyHash));
  }

  /** Returns whether a whole range has its home in a data centre and no pending move. */
  public boolean isHome(String dataCentre, String service, SliceRange range) {
    SliceIndex<HomeRange> index = byService.get(service);
    if (index == null) {
      return false;
    }
    return index
        .find(range.first())
        .filter(home -> home.getDataCentre().equals(dataCentre))
        .filter(home -> home.getMovingTo().isEmpty())
        .filter(home -> SliceRange.of(home.getRange()).contains(range.last()))
        .isPresent();
  }

  /**
   * Returns whether a whole range has its home in a data centre, with or without a pending move.
   */
  boolean isCurrentHome(String dataCentre, String service, SliceRange range) {
    return Optional.ofNullable(byService.get(service))
        .flatMap(index -> index.find(range.first()))
        .filter(home -> home.getDataCentre().equals(dataCentre))
        .filter(home -> SliceRange.of(home.getRange()).contains(range.last()))
        .isPresent();
  }

  /** Returns the homes row of a service, or an empty value if the service has none. */
  Optional<HomeRanges> row(String service) {
    return Optional.ofNullable(rows.get(service));
  }

  /**
   * Returns whether a leader may place slices of a service by these homes. Other data centres may
   * take over the homes of a data centre that has a claim on the service, so each later leader of
   * that data centre needs a claim under its own epoch.
   */
  public boolean mayPlace(String service, String dataCentre, long epoch) {
    HomeRanges row = rows.get(service);
    return row == null || HomeClaims.claimEpoch(row, dataCentre).orElse(epoch) == epoch;
  }

  /** Returns the services that have homes. */
  public List<String> services() {
    return new ArrayList<>(byService.keySet());
  }
}
