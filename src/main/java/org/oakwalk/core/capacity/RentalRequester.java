package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.oakwalk.core.AskId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines: one request at a time for each sort and zone, with a pause after a refusal. */
final class RentalRequester {
  private static final Logger LOG = LoggerFactory.getLogger(RentalRequester.class);
  private static final Span REFUSAL_BACKOFF = Span.seconds(8);
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  private final Outbox outbox;
  private final Fleet fleet;
  private final BootTracker bootTracker;
  private final Predicate<BootTracker.MachinePool> isForbidden;
  private final Map<BootTracker.MachinePool, Moment> refusedUntil = new HashMap<>();
  private final Set<BootTracker.MachinePool> requestsInFlight = new HashSet<>();
  private Moment clock = new Moment(0);
  private long lastRequestNumber;

  RentalRequester(
      Outbox outbox, Fleet fleet, BootTracker boots, Predicate<BootTracker.MachinePool> bars) {
    this.isForbidden = bars;
    this.outbox = outbox;
    this.fleet = fleet;
    this.bootTracker = boots;
  }

  /**
   * Asks for machines in the zones that have fewest, where machines have failed to come up only if
   * that is so in all; returns for how many it asked.
   */
  int rent(MachineType type, boolean spot, int count, Moment now) {
    clock = now;
    Map<String, Integer> held = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name())
          && machine.spot() == spot
          && !isDraining(machine)) {
        held.merge(machine.zone(), 1, Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(type.zones());
    zones.removeIf(zone -> !canRequest(new BootTracker.MachinePool(type.name(), zone, spot), now));
    zones.removeIf(zone -> isForbidden.test(new BootTracker.MachinePool(type.name(), zone, spot)));
    List<String> sound = new ArrayList<>(zones);
    sound.removeIf(
        zone -> bootTracker.isFailing(new BootTracker.MachinePool(type.name(), zone, spot), now));
    if (!sound.isEmpty()) {
      zones = sound;
    }
    zones.sort(
        Comparator.comparingInt((String zone) -> held.getOrDefault(zone, 0))
            .thenComparing(Comparator.naturalOrder()));
    int asked = 0;
    for (int i = 0; i < zones.size() && asked < count; i++) {
      int share = (int) Math.ceil((count - asked) / (double) (zones.size() - i));
      int number = Math.min(share, MAX_MACHINES_PER_REQUEST);
      asked += number;
      sendRequest(
          new BootTracker.MachinePool(type.name(), zones.get(i), spot),
          AskId.of(fleet.token(), ++lastRequestNumber),
          number,
          5);
    }
    for (BootTracker.MachinePool market : requestsInFlight) {
      if (market.type().equals(type.name()) && market.spot() == spot && asked == 0) {
        // An answer is still out; it may bring what is missing.
        return count;
      }
    }
    return asked;
  }

  /** Asks for machines of one sort, wherever others are; returns for how many it has asked. */
  int rent(BootTracker.MachinePool sort, int count, Moment now) {
    clock = now;
    if (requestsInFlight.contains(sort)) {
      // The answer that is still out may bring what is missing.
      return count;
    }
    if (!canRequest(sort, now) || isForbidden.test(sort) || bootTracker.isFailing(sort, now)) {
      return 0;
    }
    int number = Math.min(count, MAX_MACHINES_PER_REQUEST);
    sendRequest(sort, AskId.of(fleet.token(), ++lastRequestNumber), number, 5);
    return number;
  }

  /** Whether a plan empties it: its replacement is to come up where it was. */
  private static boolean isDraining(Machine machine) {
    return machine.duty() == Duty.NEXT || machine.duty() == Duty.CORDONED;
  }

  private boolean canRequest(BootTracker.MachinePool market, Moment now) {
    Moment until = refusedUntil.get(market);
    return !requestsInFlight.contains(market) && (until == null || !until.isAfter(now));
  }

  /** Rents under a name of its own, which is repeated until the cloud has answered. */
  private void sendRequest(BootTracker.MachinePool market, AskId name, int count, int tries) {
    requestsInFlight.add(market);
    outbox.call(
        new Request.Rent(name, market.type(), market.zone(), market.spot(), count),
        answer -> {
          if (answer instanceof Answer.Rented rented) {
            requestsInFlight.remove(market);
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
              refusedUntil.put(market, clock.plus(REFUSAL_BACKOFF));
            }
          } else if (answer instanceof Answer.Nothing && tries > 1) {
            sendRequest(market, name, count, tries - 1);
          } else {
            // No capacity, or no answer for long; machines that came of it show up in the list.
            requestsInFlight.remove(market);
            refusedUntil.put(market, clock.plus(REFUSAL_BACKOFF));
          }
        });
  }
}
