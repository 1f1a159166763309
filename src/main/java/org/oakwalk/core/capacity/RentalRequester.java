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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.RentalRequestId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines with one request at a time per pool, and backs off after a refusal. */
final class RentalRequester {
  private static final Logger LOG = LoggerFactory.getLogger(RentalRequester.class);
  private static final TimeSpan REFUSAL_BACKOFF = TimeSpan.seconds(8);
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  private final Outbox outbox;
  private final Fleet fleet;
  private final BootTracker bootTracker;
  private final Predicate<BootTracker.RentalPool> isForbidden;
  private final Map<BootTracker.RentalPool, MonotonicTime> refusedUntil = new HashMap<>();
  private final Set<BootTracker.RentalPool> requestsInFlight = new HashSet<>();
  private MonotonicTime currentTime = new MonotonicTime(0);
  private long lastRequestNumber;

  RentalRequester(
      Outbox outbox,
      Fleet fleet,
      BootTracker bootTracker,
      Predicate<BootTracker.RentalPool> isForbidden) {
    this.isForbidden = isForbidden;
    this.outbox = outbox;
    this.fleet = fleet;
    this.bootTracker = bootTracker;
  }

  /**
   * Requests machines, preferring the zones that have the fewest. Zones with recent boot failures
   * are used only if all zones have them. Returns the number requested, or {@code count} if nothing
   * was requested but a request for the type is in flight.
   */
  int rent(MachineType type, boolean spot, int count, MonotonicTime now) {
    currentTime = now;
    Map<String, Integer> held = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name())
          && machine.spot() == spot
          && !isDraining(machine)) {
        held.merge(machine.zone(), 1, Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(type.zones());
    zones.removeIf(zone -> !canRequest(new BootTracker.RentalPool(type.name(), zone, spot), now));
    zones.removeIf(zone -> isForbidden.test(new BootTracker.RentalPool(type.name(), zone, spot)));
    List<String> healthy = new ArrayList<>(zones);
    healthy.removeIf(
        zone -> bootTracker.isFailing(new BootTracker.RentalPool(type.name(), zone, spot), now));
    if (!healthy.isEmpty()) {
      zones = healthy;
    }
    zones.sort(
        Comparator.comparingInt((String zone) -> held.getOrDefault(zone, 0))
            .thenComparing(Comparator.naturalOrder()));
    int requested = 0;
    for (int i = 0; i < zones.size() && requested < count; i++) {
      int share = (int) Math.ceil((count - requested) / (double) (zones.size() - i));
      int number = Math.min(share, MAX_MACHINES_PER_REQUEST);
      requested += number;
      sendRequest(
          new BootTracker.RentalPool(type.name(), zones.get(i), spot),
          RentalRequestId.of(fleet.token(), ++lastRequestNumber),
          number,
          5);
    }
    for (BootTracker.RentalPool pool : requestsInFlight) {
      if (pool.type().equals(type.name()) && pool.spot() == spot && requested == 0) {
        // A request is still in flight; it may provide the missing machines.
        return count;
      }
    }
    return requested;
  }

  /**
   * Requests machines in one pool, regardless of those in other pools. Returns the number
   * requested, or {@code count} if a request for the pool is in flight.
   */
  int rent(BootTracker.RentalPool pool, int count, MonotonicTime now) {
    currentTime = now;
    if (requestsInFlight.contains(pool)) {
      // The request in flight may provide the missing machines.
      return count;
    }
    if (!canRequest(pool, now) || isForbidden.test(pool) || bootTracker.isFailing(pool, now)) {
      return 0;
    }
    int number = Math.min(count, MAX_MACHINES_PER_REQUEST);
    sendRequest(pool, RentalRequestId.of(fleet.token(), ++lastRequestNumber), number, 5);
    return number;
  }

  /** Returns whether a drain plan removes a machine; its replacement is rented in the same zone. */
  private static boolean isDraining(Machine machine) {
    return machine.schedulingMode() == SchedulingMode.DRAIN_PENDING
        || machine.schedulingMode() == SchedulingMode.CORDONED;
  }

  private boolean canRequest(BootTracker.RentalPool pool, MonotonicTime now) {
    MonotonicTime until = refusedUntil.get(pool);
    return !requestsInFlight.contains(pool) && (until == null || !until.isAfter(now));
  }

  /** Sends a request whose id is unique and is reused for retries until the cloud has answered. */
  private void sendRequest(
      BootTracker.RentalPool pool, RentalRequestId id, int count, int attemptsLeft) {
    requestsInFlight.add(pool);
    outbox.call(
        new Request.RentMachines(id, pool.type(), pool.zone(), pool.spot(), count),
        answer -> {
          if (answer instanceof Answer.Rented rented) {
            requestsInFlight.remove(pool);
            LOG.info(
                "request {}: rented {} of {} machines in zone {} (spot: {})",
                id,
                rented.machines().size(),
                count,
                pool.zone(),
                pool.spot());
            for (MachineId machine : rented.machines()) {
              if (fleet.find(machine).isEmpty()) {
                fleet.add(
                    machine,
                    "",
                    pool.type(),
                    pool.zone(),
                    pool.spot(),
                    Machine.State.BOOTING,
                    currentTime);
              }
            }
            if (rented.machines().size() < count) {
              refusedUntil.put(pool, currentTime.plus(REFUSAL_BACKOFF));
            }
          } else if (answer instanceof Answer.OutcomeUnknown && attemptsLeft > 1) {
            sendRequest(pool, id, count, attemptsLeft - 1);
          } else {
            // No capacity, or no answer after all attempts. Machines that were rented nevertheless
            // appear in the cloud's list.
            requestsInFlight.remove(pool);
            refusedUntil.put(pool, currentTime.plus(REFUSAL_BACKOFF));
          }
        });
  }
}
