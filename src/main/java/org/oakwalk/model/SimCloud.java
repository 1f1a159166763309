package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.RentalRequestId;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Rental;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Stand-in for the cloud, after its published protocol. */
final class SimCloud {
  /** A place where machines of one sort can be had. */
  record Market(String type, String zone, boolean spot) {}

  private static final long DEATH_SHOWS = 30_000;
  private static final double GOLDEN_RATIO = 0.618;

  private final World world;
  final Map<String, MachineType> types = new LinkedHashMap<>();
  final Map<Market, Integer> capacity = new HashMap<>();
  private final Map<MachineId, SimWorker> machines = new LinkedHashMap<>();
  private final Map<RentalRequestId, List<MachineId>> asks = new HashMap<>();
  private final long lag;
  private long downUntil;
  private int numbers;
  private int bootTrouble;
  private String bootTroubleZone = "";
  private double bootFactor = 1;
  private double quickestWithin = -1;
  private int quickOnes;
  private long rentalsLateUntil;
  private long rentalsLateBy;
  int rented;
  int released;

  SimCloud(World world, double lagSeconds) {
    this.world = world;
    this.lag = Math.round(lagSeconds * 1000);
  }

  void outage(double seconds) {
    downUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** The next so many machines never come up, in this zone or in any. */
  void failBoots(int count, String zone) {
    bootTrouble = count;
    bootTroubleZone = zone;
  }

  /** Boots of machines that are rented from now on take so many times as long. */
  void slowBoots(double factor) {
    bootFactor = factor;
  }

  /**
   * Machines that are rented from now on are up within so many seconds, the first one before the
   * rental is answered.
   */
  void quickBoots(double within) {
    quickestWithin = within;
  }

  /** Rentals that are asked for meanwhile get no answer, and are carried out so much later. */
  void lateRentals(double seconds, double after) {
    rentalsLateUntil = world.time.now() + Math.round(seconds * 1000);
    rentalsLateBy = Math.round(after * 1000);
  }

  private double bootSeconds(MachineType type) {
    if (quickestWithin < 0) {
      return type.bootTime().asSeconds();
    }
    // Spread evenly, however many there are.
    double share = quickOnes++ * GOLDEN_RATIO % 1;
    return quickestWithin * share / bootFactor;
  }

  SimWorker create(Market market, double bootSeconds) {
    MachineId id = new MachineId(String.format("host-%06d", numbers++));
    SimWorker worker = new SimWorker(world, id, types.get(market.type()), market);
    machines.put(id, worker);
    world.workers.put(id, worker);
    boolean here = bootTroubleZone.isEmpty() || bootTroubleZone.equals(market.zone());
    if (bootTrouble > 0 && bootSeconds > 0 && here) {
      bootTrouble--;
    } else if (bootSeconds <= 0 && quickestWithin >= 0) {
      worker.boot();
    } else {
      world.time.after(Math.round(bootSeconds * bootFactor * 1000), worker::boot);
    }
    return worker;
  }

  void serve(Request.CloudRequest request, Consumer<Answer> then) {
    if (world.time.now() < downUntil) {
      then.accept(new Answer.Refused(503, "trouble"));
    } else if (request instanceof Request.FetchCatalog) {
      then.accept(new Answer.Catalog(types));
    } else if (request instanceof Request.RentMachines rent) {
      if (world.time.now() < rentalsLateUntil) {
        world.time.after(rentalsLateBy, () -> rent(rent));
      } else {
        then.accept(rent(rent));
      }
    } else if (request instanceof Request.ReleaseMachines release) {
      released += release.machines().size();
      for (MachineId id : release.machines()) {
        remove(id);
      }
      then.accept(new Answer.Ok());
    } else if (request instanceof Request.ListRentals) {
      then.accept(list());
    }
  }

  /** The cloud takes a machine away. */
  void remove(MachineId id) {
    SimWorker worker = machines.get(id);
    if (worker != null && worker.goneAt == Long.MAX_VALUE) {
      worker.vanish();
      capacity.merge(worker.market, 1, Integer::sum);
    }
  }

  private Answer rent(Request.RentMachines rent) {
    List<MachineId> known = asks.get(rent.id());
    if (known != null) {
      return new Answer.Rented(known);
    }
    Market market = new Market(rent.type(), rent.zone(), rent.spot());
    int count = Math.min(rent.count(), capacity.getOrDefault(market, 0));
    if (count == 0) {
      return new Answer.Refused(503, "no capacity");
    }
    capacity.merge(market, -count, Integer::sum);
    List<MachineId> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(create(market, bootSeconds(types.get(rent.type()))).id);
    }
    rented += count;
    asks.put(rent.id(), ids);
    return new Answer.Rented(ids);
  }

  private Answer list() {
    long moment = world.time.now() - lag;
    List<Rental> rentals = new ArrayList<>();
    for (SimWorker worker : machines.values()) {
      if (worker.rentedAt <= moment && worker.goneAt > moment) {
        Rental.Status status =
            worker.diedAt + DEATH_SHOWS < moment
                ? Rental.Status.FAILED
                : worker.bootedAt <= moment ? Rental.Status.RUNNING : Rental.Status.BOOTING;
        rentals.add(
            new Rental(
                worker.id,
                worker.address(),
                worker.type.name(),
                worker.market.zone(),
                worker.market.spot(),
                status,
                Span.millis(moment - worker.rentedAt)));
      }
    }
    return new Answer.Rentals(rentals, false);
  }
}
