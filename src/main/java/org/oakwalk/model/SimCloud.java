package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.AskId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Rental;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Stand-in for the cloud, after its published protocol. */
final class SimCloud {
  /** A place where machines of one sort can be had. */
  record CapacityPool(String type, String zone, boolean spot) {}

  private static final long FAILURE_DETECTION_MILLIS = 30_000;
  private static final double GOLDEN_RATIO = 0.618;

  private final World world;
  final Map<String, MachineType> types = new LinkedHashMap<>();
  final Map<CapacityPool, Integer> capacity = new HashMap<>();
  private final Map<MachineId, SimWorker> machines = new LinkedHashMap<>();
  private final Map<AskId, List<MachineId>> rentalsByRequest = new HashMap<>();
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

  /** The next so many machines never come up, in this zone or in any. */
  void failBoots(int count, String zone) {
    failingBoots = count;
    failingBootsZone = zone;
  }

  /** Boots of machines that are rented from now on take so many times as long. */
  void slowDownBoots(double factor) {
    bootFactor = factor;
  }

  /**
   * Machines that are rented from now on are up within so many seconds, the first one before the
   * rental is answered.
   */
  void setQuickBoots(double within) {
    quickBootMaxSeconds = within;
  }

  /** Rentals that are asked for meanwhile get no answer, and are carried out so much later. */
  void delayRentals(double seconds, double after) {
    rentalsDelayedUntil = world.time.now() + Math.round(seconds * 1000);
    rentalDelayMillis = Math.round(after * 1000);
  }

  private double bootSeconds(MachineType type) {
    if (quickBootMaxSeconds < 0) {
      return type.bootTime().asSeconds();
    }
    // Spread evenly, however many there are.
    double share = quickBootCount++ * GOLDEN_RATIO % 1;
    return quickBootMaxSeconds * share / bootFactor;
  }

  SimWorker createMachine(CapacityPool market, double bootSeconds) {
    MachineId id = new MachineId(String.format("host-%06d", machineCount++));
    SimWorker worker = new SimWorker(world, id, types.get(market.type()), market);
    machines.put(id, worker);
    world.workers.put(id, worker);
    boolean here = failingBootsZone.isEmpty() || failingBootsZone.equals(market.zone());
    if (failingBoots > 0 && bootSeconds > 0 && here) {
      failingBoots--;
    } else if (bootSeconds <= 0 && quickBootMaxSeconds >= 0) {
      worker.boot();
    } else {
      world.time.after(Math.round(bootSeconds * bootFactor * 1000), worker::boot);
    }
    return worker;
  }

  void serve(Request.Cloud request, Consumer<Answer> then) {
    if (world.time.now() < downUntil) {
      then.accept(new Answer.Refused(503, "trouble"));
    } else if (request instanceof Request.FetchCatalog) {
      then.accept(new Answer.Catalog(types));
    } else if (request instanceof Request.Rent rent) {
      if (world.time.now() < rentalsDelayedUntil) {
        world.time.after(rentalDelayMillis, () -> rent(rent));
      } else {
        then.accept(rent(rent));
      }
    } else if (request instanceof Request.Release release) {
      releasedCount += release.machines().size();
      for (MachineId id : release.machines()) {
        remove(id);
      }
      then.accept(new Answer.Ok());
    } else if (request instanceof Request.ListRentals) {
      then.accept(listRentals());
    }
  }

  /** The cloud takes a machine away. */
  void remove(MachineId id) {
    SimWorker worker = machines.get(id);
    if (worker != null && worker.goneAt == Long.MAX_VALUE) {
      worker.markGone();
      capacity.merge(worker.pool, 1, Integer::sum);
    }
  }

  private Answer rent(Request.Rent rent) {
    List<MachineId> known = rentalsByRequest.get(rent.ask());
    if (known != null) {
      return new Answer.Rented(known);
    }
    CapacityPool market = new CapacityPool(rent.type(), rent.zone(), rent.spot());
    int count = Math.min(rent.count(), capacity.getOrDefault(market, 0));
    if (count == 0) {
      return new Answer.Refused(503, "no capacity");
    }
    capacity.merge(market, -count, Integer::sum);
    List<MachineId> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(createMachine(market, bootSeconds(types.get(rent.type()))).id);
    }
    rentedCount += count;
    rentalsByRequest.put(rent.ask(), ids);
    return new Answer.Rented(ids);
  }

  private Answer listRentals() {
    long moment = world.time.now() - listLagMillis;
    List<Rental> rentals = new ArrayList<>();
    for (SimWorker worker : machines.values()) {
      if (worker.rentedAt <= moment && worker.goneAt > moment) {
        Rental.Status status =
            worker.diedAt + FAILURE_DETECTION_MILLIS < moment
                ? Rental.Status.FAILED
                : worker.bootedAt <= moment ? Rental.Status.RUNNING : Rental.Status.BOOTING;
        rentals.add(
            new Rental(
                worker.id,
                worker.address(),
                worker.type.name(),
                worker.pool.zone(),
                worker.pool.spot(),
                status,
                Span.millis(moment - worker.rentedAt)));
      }
    }
    return new Answer.Rentals(rentals, false);
  }
}
