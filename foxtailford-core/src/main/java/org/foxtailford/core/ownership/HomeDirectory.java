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

/** Home data centre of each range of each keyed service. Immutable. */
public final class HomeDirectory {

  private static final HomeDirectory EMPTY = new HomeDirectory(Map.of(), Map.of());

  private final Map<String, SliceIndex<HomeRange>> byService;
  private final Map<String, HomeRanges> rows;

  private HomeDirectory(
      Map<String, SliceIndex<HomeRange>> byService, Map<String, HomeRanges> rows) {
    this.byService = byService;
    this.rows = rows;
  }

  public static HomeDirectory empty() {
    return EMPTY;
  }

  /** Returns the directory of the rows that the table holds. */
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
   * Divides a service's hash space over data centres, aligned with its slices.
   *
   * @param service name of the service
   * @param slices number of slices that the hash space is divided into
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

  /** Reads a row of the table. */
  static HomeRanges parse(TableRow row) {
    try {
      return HomeRanges.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("homes row " + row.key() + " cannot be read", e);
    }
  }

  /** Returns the home of a key. */
  public Optional<String> home(String service, long keyHash) {
    return range(service, keyHash).map(HomeRange::getDataCentre);
  }

  /** Returns the range that a key lies in, with its home and the move that it makes. */
  public Optional<HomeRange> range(String service, long keyHash) {
    return Optional.ofNullable(byService.get(service)).flatMap(index -> index.find(keyHash));
  }

  /** Tells whether a whole range has its home in a data centre and is to stay there. */
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

  /** Tells whether a whole range has its home in a data centre now, even if it is to move. */
  boolean isCurrentHome(String dataCentre, String service, SliceRange range) {
    return Optional.ofNullable(byService.get(service))
        .flatMap(index -> index.find(range.first()))
        .filter(home -> home.getDataCentre().equals(dataCentre))
        .filter(home -> SliceRange.of(home.getRange()).contains(range.last()))
        .isPresent();
  }

  /** Returns the row of a service. */
  Optional<HomeRanges> row(String service) {
    return Optional.ofNullable(rows.get(service));
  }

  /**
   * Tells whether a leader may place slices by these homes. Once a data centre has a claim on a
   * service, its homes may be taken from it, so that each later leader needs a claim of its own.
   */
  public boolean mayPlace(String service, String dataCentre, long epoch) {
    HomeRanges row = rows.get(service);
    return row == null || HomeClaims.epoch(row, dataCentre).orElse(epoch) == epoch;
  }

  /** Returns the services that have homes. */
  public List<String> services() {
    return new ArrayList<>(byService.keySet());
  }
}
