package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.RentalRequestId;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines: one request at a time for each sort and zone, with a pause after a refusal. */
final class Renter {
  private static final Logger LOG = LoggerFactory.getLogger(Renter.class);
  private static final Span REFUSED_PAUSE = Span.seconds(8);
  private static final int MOST_PER_ASK = 50;

  private final Outbox outbox;
  private final Fleet fleet;
  private final Boots boots;
  private final Predicate<Boots.Sort> bars;
  private final Map<Boots.Sort, Moment> refusedUntil = new HashMap<>();
  private final Set<Boots.Sort> asking = new HashSet<>();
  private Moment clock = new Moment(0);
  private long asks;

  Renter(Outbox outbox, Fleet fleet, Boots boots, Predicate<Boots.Sort> bars) {
    this.bars = bars;
    this.outbox = outbox;
    this.fleet = fleet;
    this.boots = boots;
  }

  /**
   * Asks for machines in the zones that have fewest, where machines have failed to come up only if
   * that is so in all; returns for how many it asked.
   */
  int rent(MachineType type, boolean spot, int count, Moment now) {
    clock = now;
    Map<String, Integer> held = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name()) && machine.spot() == spot && !leaves(machine)) {
        held.merge(machine.zone(), 1, Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(type.zones());
    zones.removeIf(zone -> !free(new Boots.Sort(type.name(), zone, spot), now));
    zones.removeIf(zone -> bars.test(new Boots.Sort(type.name(), zone, spot)));
    List<String> sound = new ArrayList<>(zones);
    sound.removeIf(zone -> boots.blamed(new Boots.Sort(type.name(), zone, spot), now));
    if (!sound.isEmpty()) {
      zones = sound;
    }
    zones.sort(
        Comparator.comparingInt((String zone) -> held.getOrDefault(zone, 0))
            .thenComparing(Comparator.naturalOrder()));
    int asked = 0;
    for (int i = 0; i < zones.size() && asked < count; i++) {
      int share = (int) Math.ceil((count - asked) / (double) (zones.size() - i));
      int number = Math.min(share, MOST_PER_ASK);
      asked += number;
      ask(
          new Boots.Sort(type.name(), zones.get(i), spot),
          RentalRequestId.of(fleet.token(), ++asks),
          number,
          5);
    }
    for (Boots.Sort market : asking) {
      if (market.type().equals(type.name()) && market.spot() == spot && asked == 0) {
        // An answer is still out; it may bring what is missing.
        return count;
      }
    }
    return asked;
  }

  /** Asks for machines of one sort, wherever others are; returns for how many it has asked. */
  int rent(Boots.Sort sort, int count, Moment now) {
    clock = now;
    if (asking.contains(sort)) {
      // The answer that is still out may bring what is missing.
      return count;
    }
    if (!free(sort, now) || bars.test(sort) || boots.blamed(sort, now)) {
      return 0;
    }
    int number = Math.min(count, MOST_PER_ASK);
    ask(sort, RentalRequestId.of(fleet.token(), ++asks), number, 5);
    return number;
  }

  /** Whether a plan empties it: its replacement is to come up where it was. */
  private static boolean leaves(Machine machine) {
    return machine.schedulingMode() == SchedulingMode.DRAIN_PENDING
        || machine.schedulingMode() == SchedulingMode.CORDONED;
  }

  private boolean free(Boots.Sort market, Moment now) {
    Moment until = refusedUntil.get(market);
    return !asking.contains(market) && (until == null || !until.isAfter(now));
  }

  /** Rents under a name of its own, which is repeated until the cloud has answered. */
  private void ask(Boots.Sort market, RentalRequestId name, int count, int tries) {
    asking.add(market);
    outbox.call(
        new Request.RentMachines(name, market.type(), market.zone(), market.spot(), count),
        answer -> {
          if (answer instanceof Answer.Rented rented) {
            asking.remove(market);
            LOG.info(
                "{} rented {} of {} in {} spot {}",
                name,
                rented.machines().size(),
                count,
                market.zone(),
                market.spot());
            for (MachineId id : rented.machines()) {
              if (fleet.find(id).isEmpty()) {
                fleet.add(
                    id,
                    "",
                    market.type(),
                    market.zone(),
                    market.spot(),
                    Machine.State.BOOTING,
                    clock);
              }
            }
            if (rented.machines().size() < count) {
              refusedUntil.put(market, clock.plus(REFUSED_PAUSE));
            }
          } else if (answer instanceof Answer.OutcomeUnknown && tries > 1) {
            ask(market, name, count, tries - 1);
          } else {
            // No capacity, or no answer for long; machines that came of it show up in the list.
            asking.remove(market);
            refusedUntil.put(market, clock.plus(REFUSED_PAUSE));
          }
        });
  }
}
