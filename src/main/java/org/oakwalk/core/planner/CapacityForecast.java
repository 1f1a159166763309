package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Room;

/**
 * What room there will be until dawn, by sort of machine: what is held, less what runs there; what
 * boots; and what could be had beside, as far as so many were held of late. How often machines are
 * taken back is learned as well.
 */
final class CapacityForecast {
  private static final int MAX_POOLS = 64;

  /** Boots take up to so much more than the type's own time without being late. */
  private static final double BOOT_TIME_FACTOR = 1.6;

  /** After so many hours half of what was learned is forgotten. */
  private static final double HALF_LIFE_HOURS = 24;

  private static final double SECONDS_PER_HOUR = 3600;

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

  /** A sort of machines, as far as it can be foreseen. */
  record PoolForecast(MachinePoolKey key, MachineType type, Schedule.MachinePool pool) {}

  private static final Comparator<MachinePoolKey> ORDER =
      Comparator.comparing(MachinePoolKey::type)
          .thenComparing(MachinePoolKey::zone)
          .thenComparing(MachinePoolKey::spot);

  private final Map<MachinePoolKey, PoolHistory> histories = new TreeMap<>(ORDER);
  private final Set<MachineId> countedReclaims = new HashSet<>();
  private Moment lastObserved;

  /** Looks at what is held; to be called now and then. */
  void observe(Iterable<Machine> machines, Moment now) {
    double hours =
        lastObserved == null ? 0 : now.since(lastObserved).asSeconds() / SECONDS_PER_HOUR;
    lastObserved = now;
    double keep = Math.pow(0.5, hours / HALF_LIFE_HOURS);
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
        (sort, account) -> {
          account.recentPeak *= keep;
          account.observedHours *= keep;
          account.reclaims *= keep;
        });
    up.forEach(
        (sort, count) -> {
          PoolHistory account = history(sort);
          account.recentPeak = Math.max(account.recentPeak, count);
          account.observedHours += hours * count;
        });
  }

  private PoolHistory history(MachinePoolKey sort) {
    if (!histories.containsKey(sort) && histories.size() >= MAX_POOLS) {
      return new PoolHistory();
    }
    return histories.computeIfAbsent(sort, s -> new PoolHistory());
  }

  private static boolean isUsable(Machine machine) {
    return switch (machine.state()) {
      case ENROLLING, UNCONFIRMED -> true;
      case UP -> machine.duty() == Duty.IN_USE || machine.duty() == Duty.NEXT;
      case BOOTING, LAPSED, RETURNING, GONE -> false;
    };
  }

  /**
   * What can be counted on.
   *
   * @param waiting room that others will take: services, headroom, guarantees
   */
  List<PoolForecast> forecast(
      Iterable<Machine> machines,
      Map<String, MachineType> types,
      Room waiting,
      Span until,
      Moment now) {
    double slot = until.asSeconds() / Schedule.SLOTS;
    Map<MachinePoolKey, double[]> held = new TreeMap<>(ORDER);
    Map<MachinePoolKey, Integer> counts = new TreeMap<>(ORDER);
    histories.keySet().forEach(sort -> held.put(sort, new double[Schedule.SLOTS]));
    for (Machine machine : machines) {
      boolean boots = machine.state() == Machine.State.BOOTING;
      if (!types.containsKey(machine.type().name()) || !(boots || isUsable(machine))) {
        continue;
      }
      MachinePoolKey sort = MachinePoolKey.of(machine);
      double[] free = held.computeIfAbsent(sort, s -> new double[Schedule.SLOTS]);
      counts.merge(sort, 1, Integer::sum);
      double up =
          boots
              ? Math.max(
                  0,
                  machine
                      .type()
                      .boot()
                      .times(BOOT_TIME_FACTOR)
                      .minus(now.since(machine.known()))
                      .asSeconds())
              : 0;
      addOverSlots(free, up, until.asSeconds(), slot, 1);
      for (Placement placement : machine.placements()) {
        double end =
            placement.endsBy() == null
                ? until.asSeconds()
                : Math.max(slot, placement.endsBy().since(now).asSeconds());
        addOverSlots(
            free, 0, end, slot, -placement.job().spec().room().share(machine.type().room()));
      }
    }
    List<PoolForecast> outlooks = new ArrayList<>();
    held.forEach(
        (sort, free) -> {
          MachineType type = types.get(sort.type());
          if (type != null) {
            outlooks.add(forecast(sort, type, free, counts.getOrDefault(sort, 0), until, slot));
          }
        });
    subtractWaiting(outlooks, waiting);
    return outlooks;
  }

  private PoolForecast forecast(
      MachinePoolKey sort, MachineType type, double[] free, int count, Span until, double slot) {
    PoolHistory account = histories.getOrDefault(sort, new PoolHistory());
    double boot = type.boot().asSeconds() * BOOT_TIME_FACTOR;
    double perHour = account.observedHours <= 0 ? 0 : account.reclaims / account.observedHours;
    // What is taken back is gone for a boot; what it was working on is lost as well.
    double there = 1 / (1 + perHour * 2 * boot / SECONDS_PER_HOUR);
    for (int k = 0; k < free.length; k++) {
      free[k] *= there;
    }
    double[] more = new double[Schedule.SLOTS];
    addOverSlots(
        more,
        boot,
        until.asSeconds(),
        slot,
        Math.max(0, Math.floor(account.recentPeak) - count) * there);
    return new PoolForecast(sort, type, new Schedule.MachinePool(sort.toString(), free, more));
  }

  /** Spreads what others will take over all machines alike. */
  private static void subtractWaiting(List<PoolForecast> outlooks, Room waiting) {
    double cpus =
        outlooks.stream().mapToDouble(o -> o.pool().freeHeld()[0] * o.type().room().cpus()).sum();
    for (PoolForecast outlook : outlooks) {
      double[] free = outlook.pool().freeHeld();
      double part =
          cpus <= 0 ? 0 : Math.min(1, Math.max(0, free[0]) * outlook.type().room().cpus() / cpus);
      double taken = waiting.times(part).share(outlook.type().room());
      for (int k = 0; k < free.length; k++) {
        free[k] -= taken;
      }
    }
  }

  private static void addOverSlots(
      double[] slots, double from, double to, double slot, double amount) {
    for (int k = 0; k < slots.length; k++) {
      double covered = Math.min(to, (k + 1) * slot) - Math.max(from, k * slot);
      if (covered > 0) {
        slots[k] += amount * Math.min(1, covered / slot);
      }
    }
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    histories.forEach(
        (sort, account) ->
            rows.add(
                new PlanRow.CapacityRow(
                    sort.type(),
                    sort.zone(),
                    sort.spot(),
                    account.recentPeak,
                    account.observedHours,
                    account.reclaims)));
    return rows;
  }

  void restore(PlanRow.CapacityRow row) {
    PoolHistory account = history(new MachinePoolKey(row.type(), row.zone(), row.spot()));
    account.recentPeak = row.recentPeak();
    account.observedHours = row.observedHours();
    account.reclaims = row.reclaims();
  }
}
