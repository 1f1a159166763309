package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.RentalRequestId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Rental;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Simulated cloud that follows the published protocol. */
final class SimCloud {
  /** Key of the capacity for one machine type in one zone, on demand or spot. */
  record CapacityPool(String type, String zone, boolean spot) {}

  private static final long FAILURE_DETECTION_MILLIS = 30_000;
  private static final double GOLDEN_RATIO = 0.618;

  private final World world;
  final Map<String, MachineType> types = new LinkedHashMap<>();
  final Map<CapacityPool, Integer> capacity = new HashMap<>();
  private final Map<MachineId, SimWorker> machines = new LinkedHashMap<>();
  private final Map<RentalRequestId, List<MachineId>> rentalsByRequest = new HashMap<>();
  private final long listLagMillis;
  private long downUntil;
  private int machineCount;
  private int failingBoots;
  private String failingBootsZone = "";
  private double bootFactor = 1;
  private double quickBootMaxSeconds = -1;
  private int quickBootCount;
  private long rentalsDelayedUntil;
  private long rentalDelayMillis;
  int rentedCount;
  int releasedCount;

  SimCloud(World world, double lagSeconds) {
    this.world = world;
    this.listLagMillis = Math.round(lagSeconds * 1000);
  }

  void outage(double seconds) {
    downUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /**
   * Makes the next {@code count} rented machines fail to boot, in one zone or, if empty, in any.
   */
  void failBoots(int count, String zone) {
    failingBoots = count;
    failingBootsZone = zone;
  }

  /** Multiplies the boot time of machines rented from now on. */
  void slowDownBoots(double factor) {
    bootFactor = factor;
  }

  /**
   * Limits the boot time of machines rented from now on, in seconds. The first of them is up before
   * the rental request is answered.
   */
  void setQuickBoots(double within) {
    quickBootMaxSeconds = within;
  }

  /**
   * Delays the rental requests of a period: they get no answer and are carried out after a delay.
   *
   * @param seconds length of the period
   * @param after delay of each request, in seconds
   */
  void delayRentals(double seconds, double after) {
    rentalsDelayedUntil = world.time.now() + Math.round(seconds * 1000);
    rentalDelayMillis = Math.round(after * 1000);
  }

  private double bootSeconds(MachineType type) {
    if (quickBootMaxSeconds < 0) {
      return type.bootTime().asSeconds();
    }
    // The golden ratio spreads the boot times evenly, whatever the number of machines.
    double share = quickBootCount++ * GOLDEN_RATIO % 1;
    return quickBootMaxSeconds * share / bootFactor;
  }

  SimWorker createMachine(CapacityPool pool, double bootSeconds) {
    MachineId id = new MachineId(String.format("host-%06d", machineCount++));
    SimWorker worker = new SimWorker(world, id, types.get(pool.type()), pool);
    machines.put(id, worker);
    world.workers.put(id, worker);
    boolean zoneMatches = failingBootsZone.isEmpty() || failingBootsZone.equals(pool.zone());
    if (failingBoots > 0 && bootSeconds > 0 && zoneMatches) {
      failingBoots--;
    } else if (bootSeconds <= 0 && quickBootMaxSeconds >= 0) {
      worker.boot();
    } else {
      world.time.after(Math.round(bootSeconds * bootFactor * 1000), worker::boot);
    }
    return worker;
  }

  void serve(Request.CloudRequest request, Consumer<Answer> then) {
    if (world.time.now() < downUntil) {
      then.accept(new Answer.Refused(503, "cloud unavailable"));
    } else if (request instanceof Request.FetchCatalog) {
      then.accept(new Answer.Catalog(types));
    } else if (request instanceof Request.RentMachines rent) {
      if (world.time.now() < rentalsDelayedUntil) {
        world.time.after(rentalDelayMillis, () -> rent(rent));
      } else {
        then.accept(rent(rent));
      }
    } else if (request instanceof Request.ReleaseMachines release) {
      releasedCount += release.machines().size();
      for (MachineId id : release.machines()) {
        remove(id);
      }
      then.accept(new Answer.Ok());
    } else if (request instanceof Request.ListRentals) {
      then.accept(listRentals());
    }
  }

  /** Removes a machine and returns its capacity to the pool. */
  void remove(MachineId id) {
    SimWorker worker = machines.get(id);
    if (worker != null && worker.goneAt == Long.MAX_VALUE) {
      worker.markGone();
      capacity.merge(worker.pool, 1, Integer::sum);
    }
  }

  private Answer rent(Request.RentMachines rent) {
    List<MachineId> known = rentalsByRequest.get(rent.id());
    if (known != null) {
      return new Answer.Rented(known);
    }
    CapacityPool pool = new CapacityPool(rent.type(), rent.zone(), rent.spot());
    int count = Math.min(rent.count(), capacity.getOrDefault(pool, 0));
    if (count == 0) {
      return new Answer.Refused(503, "no capacity");
    }
    capacity.merge(pool, -count, Integer::sum);
    List<MachineId> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(createMachine(pool, bootSeconds(types.get(rent.type()))).id);
    }
    rentedCount += count;
    rentalsByRequest.put(rent.id(), ids);
    return new Answer.Rented(ids);
  }

  private Answer listRentals() {
    long listedAt = world.time.now() - listLagMillis;
    List<Rental> rentals = new ArrayList<>();
    for (SimWorker worker : machines.values()) {
      if (worker.rentedAt <= listedAt && worker.goneAt > listedAt) {
        Rental.Status status =
            worker.diedAt + FAILURE_DETECTION_MILLIS < listedAt
                ? Rental.Status.FAILED
                : worker.bootedAt <= listedAt ? Rental.Status.RUNNING : Rental.Status.BOOTING;
        rentals.add(
            new Rental(
                worker.id,
                worker.address(),
                worker.type.name(),
                worker.pool.zone(),
                worker.pool.spot(),
                status,
                TimeSpan.millis(listedAt - worker.rentedAt)));
      }
    }
    return new Answer.Rentals(rentals, false);
  }
}
