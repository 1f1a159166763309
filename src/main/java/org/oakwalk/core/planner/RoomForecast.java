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
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Resources;

/**
 * What room there will be until dawn, by sort of machine: what is held, less what runs there; what
 * boots; and what could be had beside, as far as so many were held of late. How often machines are
 * taken back is learned as well.
 */
final class RoomForecast {
  private static final int MOST_SORTS = 64;

  /** Boots take up to so much more than the type's own time without being late. */
  private static final double BOOT = 1.6;

  /** After so many hours half of what was learned is forgotten. */
  private static final double HALVES_IN_HOURS = 24;

  private static final double HOUR = 3600;

  record Sort(String type, String zone, boolean spot) {
    static Sort of(Machine machine) {
      return new Sort(machine.type().name(), machine.zone(), machine.spot());
    }

    @Override
    public String toString() {
      return type + " " + zone + (spot ? " spot" : "");
    }
  }

  private static final class Known {
    double most;
    double hours;
    double losses;
  }

  /** A sort of machines, as far as it can be foreseen. */
  record Outlook(Sort sort, MachineType type, Schedule.Pool pool) {}

  private static final Comparator<Sort> ORDER =
      Comparator.comparing(Sort::type).thenComparing(Sort::zone).thenComparing(Sort::spot);

  private final Map<Sort, Known> known = new TreeMap<>(ORDER);
  private final Set<MachineId> noticed = new HashSet<>();
  private Moment observed;

  /** Looks at what is held; to be called now and then. */
  void observe(Iterable<Machine> machines, Moment now) {
    double hours = observed == null ? 0 : now.since(observed).asSeconds() / HOUR;
    observed = now;
    double keep = Math.pow(0.5, hours / HALVES_IN_HOURS);
    Map<Sort, Integer> up = new TreeMap<>(ORDER);
    Set<MachineId> present = new HashSet<>();
    for (Machine machine : machines) {
      present.add(machine.id());
      if (held(machine)) {
        up.merge(Sort.of(machine), 1, Integer::sum);
      }
      if (machine.reclaimedAt() != null && noticed.add(machine.id())) {
        account(Sort.of(machine)).losses++;
      }
    }
    noticed.retainAll(present);
    known.forEach(
        (sort, account) -> {
          account.most *= keep;
          account.hours *= keep;
          account.losses *= keep;
        });
    up.forEach(
        (sort, count) -> {
          Known account = account(sort);
          account.most = Math.max(account.most, count);
          account.hours += hours * count;
        });
  }

  private Known account(Sort sort) {
    if (!known.containsKey(sort) && known.size() >= MOST_SORTS) {
      return new Known();
    }
    return known.computeIfAbsent(sort, s -> new Known());
  }

  private static boolean held(Machine machine) {
    return switch (machine.state()) {
      case REGISTERING, UNCONFIRMED -> true;
      case UP ->
          machine.schedulingMode() == SchedulingMode.ACTIVE
              || machine.schedulingMode() == SchedulingMode.DRAIN_PENDING;
      case BOOTING, LEASE_EXPIRED, RETURNING, GONE -> false;
    };
  }

  /**
   * What can be counted on.
   *
   * @param waiting room that others will take: services, headroom, guarantees
   */
  List<Outlook> outlook(
      Iterable<Machine> machines,
      Map<String, MachineType> types,
      Resources waiting,
      Span until,
      Moment now) {
    double slot = until.asSeconds() / Schedule.SLOTS;
    Map<Sort, double[]> held = new TreeMap<>(ORDER);
    Map<Sort, Integer> counts = new TreeMap<>(ORDER);
    known.keySet().forEach(sort -> held.put(sort, new double[Schedule.SLOTS]));
    for (Machine machine : machines) {
      boolean boots = machine.state() == Machine.State.BOOTING;
      if (!types.containsKey(machine.type().name()) || !(boots || held(machine))) {
        continue;
      }
      Sort sort = Sort.of(machine);
      double[] free = held.computeIfAbsent(sort, s -> new double[Schedule.SLOTS]);
      counts.merge(sort, 1, Integer::sum);
      double up =
          boots
              ? Math.max(
                  0,
                  machine
                      .type()
                      .bootTime()
                      .times(BOOT)
                      .minus(now.since(machine.knownSince()))
                      .asSeconds())
              : 0;
      add(free, up, until.asSeconds(), slot, 1);
      for (Placement placement : machine.placements()) {
        double end =
            placement.expectedEnd() == null
                ? until.asSeconds()
                : Math.max(slot, placement.expectedEnd().since(now).asSeconds());
        add(
            free,
            0,
            end,
            slot,
            -placement.job().spec().resources().dominantShare(machine.type().room()));
      }
    }
    List<Outlook> outlooks = new ArrayList<>();
    held.forEach(
        (sort, free) -> {
          MachineType type = types.get(sort.type());
          if (type != null) {
            outlooks.add(outlook(sort, type, free, counts.getOrDefault(sort, 0), until, slot));
          }
        });
    lessWaiting(outlooks, waiting);
    return outlooks;
  }

  private Outlook outlook(
      Sort sort, MachineType type, double[] free, int count, Span until, double slot) {
    Known account = known.getOrDefault(sort, new Known());
    double boot = type.bootTime().asSeconds() * BOOT;
    double perHour = account.hours <= 0 ? 0 : account.losses / account.hours;
    // What is taken back is gone for a boot; what it was working on is lost as well.
    double there = 1 / (1 + perHour * 2 * boot / HOUR);
    for (int k = 0; k < free.length; k++) {
      free[k] *= there;
    }
    double[] more = new double[Schedule.SLOTS];
    add(more, boot, until.asSeconds(), slot, Math.max(0, Math.floor(account.most) - count) * there);
    return new Outlook(sort, type, new Schedule.Pool(sort.toString(), free, more));
  }

  /** Spreads what others will take over all machines alike. */
  private static void lessWaiting(List<Outlook> outlooks, Resources waiting) {
    double cpus =
        outlooks.stream().mapToDouble(o -> o.pool().held()[0] * o.type().room().cpus()).sum();
    for (Outlook outlook : outlooks) {
      double[] free = outlook.pool().held();
      double part =
          cpus <= 0 ? 0 : Math.min(1, Math.max(0, free[0]) * outlook.type().room().cpus() / cpus);
      double taken = waiting.times(part).dominantShare(outlook.type().room());
      for (int k = 0; k < free.length; k++) {
        free[k] -= taken;
      }
    }
  }

  private static void add(double[] slots, double from, double to, double slot, double amount) {
    for (int k = 0; k < slots.length; k++) {
      double covered = Math.min(to, (k + 1) * slot) - Math.max(from, k * slot);
      if (covered > 0) {
        slots[k] += amount * Math.min(1, covered / slot);
      }
    }
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    known.forEach(
        (sort, account) ->
            rows.add(
                new PlanRow.Reach(
                    sort.type(),
                    sort.zone(),
                    sort.spot(),
                    account.most,
                    account.hours,
                    account.losses)));
    return rows;
  }

  void restore(PlanRow.Reach row) {
    Known account = account(new Sort(row.type(), row.zone(), row.spot()));
    account.most = row.most();
    account.hours = row.hours();
    account.losses = row.losses();
  }
}
