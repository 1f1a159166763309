package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Resources;

/**
 * Forecast of the machine capacity until the deadline, by machine pool: held machines less their
 * running tasks, booting machines, and machines that could be rented in addition, up to the number
 * held recently. It also learns how often machines are reclaimed.
 */
final class CapacityForecast {
  private static final int MAX_POOLS = 64;

  /** A boot may take this multiple of its type's boot time without being late. */
  private static final double BOOT_TIME_FACTOR = 1.6;

  /** Half-life of the learned figures, in hours. */
  private static final double HALF_LIFE_HOURS = 24;

  private static final double SECONDS_PER_HOUR = 3600;

  /** Identifies a pool of interchangeable machines. */
  record MachinePoolKey(String type, String zone, boolean spot) {
    static MachinePoolKey of(Machine machine) {
      return new MachinePoolKey(machine.type().name(), machine.zone(), machine.spot());
    }

    @Override
    public String toString() {
      return type + " " + zone + (spot ? " spot" : "");
    }
  }

  private static final class PoolHistory {
    double recentPeak;
    double observedHours;
    double reclaims;
  }

  /** The forecast for one pool. */
  record PoolForecast(MachinePoolKey key, MachineType type, Schedule.MachinePool pool) {}

  private static final Comparator<MachinePoolKey> ORDER =
      Comparator.comparing(MachinePoolKey::type)
          .thenComparing(MachinePoolKey::zone)
          .thenComparing(MachinePoolKey::spot);

  private final Map<MachinePoolKey, PoolHistory> histories = new TreeMap<>(ORDER);
  private final Set<MachineId> countedReclaims = new HashSet<>();
  private MonotonicTime lastObserved;

  /** Updates the learned figures from the machines that are held; called periodically. */
  void observe(Iterable<Machine> machines, MonotonicTime now) {
    double hours =
        lastObserved == null ? 0 : now.since(lastObserved).asSeconds() / SECONDS_PER_HOUR;
    lastObserved = now;
    double decay = Math.pow(0.5, hours / HALF_LIFE_HOURS);
    Map<MachinePoolKey, Integer> up = new TreeMap<>(ORDER);
    Set<MachineId> present = new HashSet<>();
    for (Machine machine : machines) {
      present.add(machine.id());
      if (isUsable(machine)) {
        up.merge(MachinePoolKey.of(machine), 1, Integer::sum);
      }
      if (machine.reclaimedAt() != null && countedReclaims.add(machine.id())) {
        history(MachinePoolKey.of(machine)).reclaims++;
      }
    }
    countedReclaims.retainAll(present);
    histories.forEach(
        (key, history) -> {
          history.recentPeak *= decay;
          history.observedHours *= decay;
          history.reclaims *= decay;
        });
    up.forEach(
        (key, count) -> {
          PoolHistory history = history(key);
          history.recentPeak = Math.max(history.recentPeak, count);
          history.observedHours += hours * count;
        });
  }

  private PoolHistory history(MachinePoolKey key) {
    if (!histories.containsKey(key) && histories.size() >= MAX_POOLS) {
      return new PoolHistory();
    }
    return histories.computeIfAbsent(key, k -> new PoolHistory());
  }

  private static boolean isUsable(Machine machine) {
    return switch (machine.state()) {
      case REGISTERING, UNCONFIRMED -> true;
      case UP ->
          machine.schedulingMode() == SchedulingMode.ACTIVE
              || machine.schedulingMode() == SchedulingMode.DRAIN_PENDING;
      case BOOTING, LEASE_EXPIRED, RETURNING, GONE -> false;
    };
  }

  /**
   * Forecasts the capacity that a plan can rely on.
   *
   * @param waiting resources that other work will take: services, headroom, guarantees
   */
  List<PoolForecast> forecast(
      Iterable<Machine> machines,
      Map<String, MachineType> types,
      Resources waiting,
      TimeSpan until,
      MonotonicTime now) {
    double slotSeconds = until.asSeconds() / Schedule.SLOTS;
    Map<MachinePoolKey, double[]> held = new TreeMap<>(ORDER);
    Map<MachinePoolKey, Integer> counts = new TreeMap<>(ORDER);
    histories.keySet().forEach(key -> held.put(key, new double[Schedule.SLOTS]));
    for (Machine machine : machines) {
      boolean booting = machine.state() == Machine.State.BOOTING;
      if (!types.containsKey(machine.type().name()) || !(booting || isUsable(machine))) {
        continue;
      }
      MachinePoolKey key = MachinePoolKey.of(machine);
      double[] free = held.computeIfAbsent(key, k -> new double[Schedule.SLOTS]);
      counts.merge(key, 1, Integer::sum);
      double availableFrom =
          booting
              ? Math.max(
                  0,
                  machine
                      .type()
                      .bootTime()
                      .times(BOOT_TIME_FACTOR)
                      .minus(now.since(machine.knownSince()))
                      .asSeconds())
              : 0;
      addOverSlots(free, availableFrom, until.asSeconds(), slotSeconds, 1);
      for (Placement placement : machine.placements()) {
        double end =
            placement.expectedEnd() == null
                ? until.asSeconds()
                : Math.max(slotSeconds, placement.expectedEnd().since(now).asSeconds());
        addOverSlots(
            free,
            0,
            end,
            slotSeconds,
            -placement.job().spec().resources().dominantShare(machine.type().resources()));
      }
    }
    List<PoolForecast> forecasts = new ArrayList<>();
    held.forEach(
        (key, free) -> {
          MachineType type = types.get(key.type());
          if (type != null) {
            forecasts.add(
                forecast(key, type, free, counts.getOrDefault(key, 0), until, slotSeconds));
          }
        });
    subtractWaiting(forecasts, waiting);
    return forecasts;
  }

  private PoolForecast forecast(
      MachinePoolKey key,
      MachineType type,
      double[] free,
      int count,
      TimeSpan until,
      double slotSeconds) {
    PoolHistory history = histories.getOrDefault(key, new PoolHistory());
    double bootSeconds = type.bootTime().asSeconds() * BOOT_TIME_FACTOR;
    double reclaimsPerHour =
        history.observedHours <= 0 ? 0 : history.reclaims / history.observedHours;
    // A reclaimed machine is missing for one boot time, and the work on it is lost as well, which
    // counts as much again.
    double availability = 1 / (1 + reclaimsPerHour * 2 * bootSeconds / SECONDS_PER_HOUR);
    for (int k = 0; k < free.length; k++) {
      free[k] *= availability;
    }
    double[] obtainable = new double[Schedule.SLOTS];
    addOverSlots(
        obtainable,
        bootSeconds,
        until.asSeconds(),
        slotSeconds,
        Math.max(0, Math.floor(history.recentPeak) - count) * availability);
    return new PoolForecast(key, type, new Schedule.MachinePool(key.toString(), free, obtainable));
  }

  /** Subtracts the resources that other work will take, spread evenly over all machines. */
  private static void subtractWaiting(List<PoolForecast> forecasts, Resources waiting) {
    double cpus =
        forecasts.stream()
            .mapToDouble(f -> f.pool().freeHeld()[0] * f.type().resources().cpus())
            .sum();
    for (PoolForecast forecast : forecasts) {
      double[] free = forecast.pool().freeHeld();
      double part =
          cpus <= 0
              ? 0
              : Math.min(1, Math.max(0, free[0]) * forecast.type().resources().cpus() / cpus);
      double taken = waiting.times(part).dominantShare(forecast.type().resources());
      for (int k = 0; k < free.length; k++) {
        free[k] -= taken;
      }
    }
  }

  private static void addOverSlots(
      double[] slots, double from, double to, double slotSeconds, double amount) {
    for (int k = 0; k < slots.length; k++) {
      double covered = Math.min(to, (k + 1) * slotSeconds) - Math.max(from, k * slotSeconds);
      if (covered > 0) {
        slots[k] += amount * Math.min(1, covered / slotSeconds);
      }
    }
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    histories.forEach(
        (key, history) ->
            rows.add(
                new PlanRow.CapacityRow(
                    key.type(),
                    key.zone(),
                    key.spot(),
                    history.recentPeak,
                    history.observedHours,
                    history.reclaims)));
    return rows;
  }

  void restore(PlanRow.CapacityRow row) {
    PoolHistory history = history(new MachinePoolKey(row.type(), row.zone(), row.spot()));
    history.recentPeak = row.recentPeak();
    history.observedHours = row.observedHours();
    history.reclaims = row.reclaims();
  }
}
