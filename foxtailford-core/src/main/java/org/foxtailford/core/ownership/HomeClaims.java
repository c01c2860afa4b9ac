package org.foxtailford.core.ownership;

import java.util.OptionalLong;
import org.foxtailford.schema.HomeClaim;
import org.foxtailford.schema.HomeRanges;

/**
 * Reads and adds the claims of data centres in a homes row.
 *
 * <p>A claim changes the version of the row. A take-over of homes that another data centre decided
 * on before the claim therefore fails on the conditional write, and the claiming leader sees in the
 * row every take-over that was applied earlier.
 */
final class HomeClaims {

  private HomeClaims() {}

  /** Returns the epoch of a data centre's claim, or an empty value if it has no claim. */
  static OptionalLong claimEpoch(HomeRanges row, String dataCentre) {
    return row.getClaimsList().stream()
        .filter(claim -> claim.getDataCentre().equals(dataCentre))
        .mapToLong(HomeClaim::getEpoch)
        .findFirst();
  }

  /**
   * Returns the row with a claim of a data centre's leader added. The row is returned as it is if
   * the data centre has a claim under the same or a later epoch.
   */
  static HomeRanges withClaim(HomeRanges row, String dataCentre, long epoch) {
    OptionalLong present = claimEpoch(row, dataCentre);
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
