package org.oakwalk.core.fleet;

import java.util.List;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.Room;

/** A kind of machine that the cloud rents, with its current prices per hour. */
public record MachineType(
    String name,
    Room room,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    Span bootTime,
    List<String> zones) {

  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }

  /** Whether the other differs in nothing but its prices. */
  public boolean equalsExceptPrices(MachineType other) {
    return new MachineType(
            name, room, cacheGb, fetchGbPerSecond, other.price, other.spotPrice, bootTime, zones)
        .equals(other);
  }

  /** How long an image of this size takes to arrive on an idle machine. */
  public Span fetchTime(double imageGb) {
    return fetchGbPerSecond <= 0 ? Span.seconds(0) : Span.seconds(imageGb / fetchGbPerSecond);
  }
}
