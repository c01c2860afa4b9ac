package org.foxtailford.core.ownership;

import java.util.OptionalLong;
import org.foxtailford.schema.HomeClaim;
import org.foxtailford.schema.HomeRanges;

/**
 * Reads and makes claims on a row of homes.
 *
 * <p>A claim changes the version of the row. A write by which another data centre takes homes, and
 * which it decided on before the claim, therefore fails; the leader that claimed sees in the row
 * every one that took effect before.
 */
final class HomeClaims {

  private HomeClaims() {}

  /** Returns the epoch of a data centre's claim; empty if it never made one. */
  static OptionalLong epoch(HomeRanges row, String dataCentre) {
    return row.getClaimsList().stream()
        .filter(claim -> claim.getDataCentre().equals(dataCentre))
        .mapToLong(HomeClaim::getEpoch)
        .findFirst();
  }

  /** Returns the row with a data centre's claim, unless a later leader claimed it. */
  static HomeRanges claim(HomeRanges row, String dataCentre, long epoch) {
    OptionalLong present = epoch(row, dataCentre);
    if (present.isPresent() && present.getAsLong() >= epoch) {
      return row;
    }
    HomeRanges.Builder claimed = row.toBuilder().clearClaims();
    row.getClaimsList().stream()
        .filter(claim -> !claim.getDataCentre().equals(dataCentre))
        .forEach(claimed::addClaims);
    claimed.addClaims(HomeClaim.newBuilder().setDataCentre(dataCentre).setEpoch(epoch));
    return claimed.build();
  }
}
