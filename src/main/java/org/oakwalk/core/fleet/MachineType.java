package org.oakwalk.core.fleet;

import java.util.List;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Resources;

/**
 * A machine type offered by the cloud, with its current prices per hour.
 *
 * @param spotPrice price of a machine that the cloud may reclaim
 * @param bootTime expected time from renting a machine until its worker reports
 */
public record MachineType(
    String name,
    Resources resources,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    TimeSpan bootTime,
    List<String> zones) {

  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }

  /** Whether the other type is equal apart from its prices. */
  public boolean equalsExceptPrices(MachineType other) {
    return new MachineType(
            name,
            resources,
            cacheGb,
            fetchGbPerSecond,
            other.price,
            other.spotPrice,
            bootTime,
            zones)
        .equals(other);
  }

  /** Time that an otherwise idle machine takes to fetch an image of this size. */
  public TimeSpan fetchTime(double imageGb) {
    return fetchGbPerSecond <= 0
        ? TimeSpan.seconds(0)
        : TimeSpan.seconds(imageGb / fetchGbPerSecond);
  }
}
