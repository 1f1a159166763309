package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoredValue;

/**
 * Keeps the stored list of machines that may have been sent commands: a machine is written before
 * its first run and removed once it is surely gone, so that the next leader knows whom to ask.
 *
 * <p>Machines that enter together are written under one key, since each key counts as a change and
 * users' submissions need the changes. A key that was written once gets no more machines. When some
 * of them are gone it is written again without them, on condition that it is as last written; if
 * that is not known, because an answer was lost, what it holds moves to a new key in the same
 * transaction that removes it. So no write that is applied late can take a machine out that is
 * still there: docs/safety.md has the argument.
 */
public final class Registry {
  private static final Span RETRY = Span.millis(500);

  /** Machines that come up within this time are written together. */
  private static final Span SPACING = Span.millis(200);

  /** Most machines under one key, so that a damaged one leaves few in doubt. */
  private static final int MOST_UNDER_A_KEY = 50;

  /** What a machine's record takes beside its texts. */
  private static final int BYTES_OF_A_RECORD = 24;

  private static final int BYTES_OF_A_KEY = 120;

  /** Part of the service's limits that is used, since sizes are estimates. */
  private static final double FILL = 0.8;

  private static final double LARGEST_COMMIT = 60 * 1024 * FILL;

  /** What is stored under one key; without a version it is not known how it stands. */
  private static final class Group {
    private final String key;
    private Optional<Revision> stamp;
    private final Map<MachineId, StoredValue.MachineRecord> members = new LinkedHashMap<>();
    private int written;

    Group(String key, Optional<Revision> stamp, List<StoredValue.MachineRecord> records) {
      this.key = key;
      this.stamp = stamp;
      records.forEach(record -> members.put(record.id(), record));
      written = members.size();
    }

    boolean outdated() {
      return members.size() < written;
    }

    Change.Put put() {
      return new Change.Put(
          key,
          new StoredValue.MachinesRecord(List.copyOf(members.values())),
          Optional.<LeaseId>empty());
    }
  }

  private final Outbox outbox;
  private final Fleet fleet;
  private final Guard guard;
  private final int changesPerCommit;
  private final double largestValue;
  private final Map<String, Group> groups = new LinkedHashMap<>();
  private long keys;
  private boolean writing;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  public Registry(Outbox outbox, Fleet fleet, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.guard = guard;
    this.changesPerCommit = limits.changesPerCommit();
    this.largestValue = Math.min(limits.valueKb() * 1024 * FILL, LARGEST_COMMIT / 2);
  }

  /**
   * These machines were found under this key, as it was written at this revision. Some may stand
   * under an earlier one as well, if the answer to a write got lost and its leader fell before it
   * removed what it had written twice; they leave this one.
   */
  public void found(String key, Revision stamp, List<StoredValue.MachineRecord> records) {
    Group group = new Group(key, Optional.of(stamp), records);
    groups.values().forEach(other -> group.members.keySet().removeAll(other.members.keySet()));
    groups.put(key, group);
  }

  /** The machine is surely gone. */
  public void gone(MachineId id) {
    groups.values().forEach(group -> group.members.remove(id));
  }

  /** What one transaction does to the list. */
  private static final class Plan {
    final List<Guard> guards = new ArrayList<>();
    final List<Change> changes = new ArrayList<>();

    /** Written by it, with how many machines. */
    final Map<Group, Integer> written = new HashMap<>();

    /** Those of them that are new. */
    final List<Group> fresh = new ArrayList<>();

    final List<Group> removed = new ArrayList<>();

    /** How the others stood before. */
    final Map<Group, Optional<Revision>> before = new HashMap<>();

    final List<Machine> entering = new ArrayList<>();
    double bytes;

    /** More are waiting that found no room in it. */
    boolean full;

    void put(Group group, double size) {
      changes.add(group.put());
      written.put(group, group.members.size());
      bytes += size;
    }
  }

  public void tick(Moment now) {
    if (writing || nextTry.isAfter(now)) {
      return;
    }
    Plan plan = new Plan();
    plan.guards.add(guard);
    enter(plan);
    boolean entering = !plan.changes.isEmpty();
    if (!entering) {
      rewrite(plan);
    }
    if (plan.changes.isEmpty()) {
      return;
    }
    writing = true;
    outbox.call(
        new Request.Commit(
            plan.guards,
            plan.changes,
            entering ? Request.Urgency.REGISTRATION : Request.Urgency.RESULT),
        answer -> {
          writing = false;
          if (answer instanceof Answer.Committed committed) {
            nextTry = plan.full ? now : now.plus(SPACING);
            applied(plan, committed.revision());
          } else {
            // Not known to be stored, so the machines take no tasks yet.
            nextTry = now.plus(RETRY);
            failed(plan, answer instanceof Answer.Refused);
          }
        });
  }

  private void applied(Plan plan, Revision at) {
    plan.written.forEach(
        (group, count) -> {
          group.stamp = Optional.of(at);
          group.written = count;
        });
    plan.removed.forEach(group -> groups.remove(group.key));
    for (Machine machine : plan.entering) {
      if (machine.state() == Machine.State.ENROLLING) {
        fleet.up(machine);
      }
    }
  }

  /**
   * A transaction was refused, or nobody knows what became of it. In the latter case a new key is
   * removed by the next one, which writes its machines under yet another: whoever is moved comes
   * before its key in the order of {@link #groups}, so it can't be removed first.
   */
  private void failed(Plan plan, boolean refused) {
    if (refused) {
      plan.before.forEach((group, stamp) -> group.stamp = stamp);
      plan.fresh.forEach(group -> groups.remove(group.key));
    } else {
      plan.fresh.forEach(group -> group.members.clear());
    }
  }

  /**
   * Writes machines that have come up under a new key. One at a time: where all nodes together ask
   * for too much, the service has a single change to spare far sooner than several at once.
   */
  private void enter(Plan plan) {
    List<StoredValue.MachineRecord> records = new ArrayList<>();
    double size = BYTES_OF_A_KEY;
    for (Machine machine : fleet.machines()) {
      if (machine.state() != Machine.State.ENROLLING) {
        continue;
      }
      StoredValue.MachineRecord record =
          new StoredValue.MachineRecord(
              machine.id(),
              machine.address(),
              machine.type().name(),
              machine.zone(),
              machine.spot());
      size += size(record);
      if (!records.isEmpty() && (records.size() >= MOST_UNDER_A_KEY || size > largestValue)) {
        plan.full = true;
        break;
      }
      records.add(record);
      plan.entering.add(machine);
    }
    if (!records.isEmpty()) {
      plan.put(group(records, plan), size);
    }
  }

  private Group group(List<StoredValue.MachineRecord> records, Plan plan) {
    Group group =
        new Group(
            Keys.machines(new Token(guard.stamp().value()), ++keys), Optional.empty(), records);
    groups.put(group.key, group);
    plan.fresh.add(group);
    return group;
  }

  /** Takes out what is gone. */
  private void rewrite(Plan plan) {
    for (Group group : List.copyOf(groups.values())) {
      if (!group.outdated()) {
        continue;
      }
      if (plan.changes.size() + 2 > Math.max(2, changesPerCommit)
          || plan.bytes + largestValue > LARGEST_COMMIT) {
        return;
      }
      plan.before.put(group, group.stamp);
      double size =
          BYTES_OF_A_KEY + group.members.values().stream().mapToDouble(Registry::size).sum();
      if (group.members.isEmpty()) {
        plan.removed.add(group);
        plan.changes.add(new Change.Remove(group.key));
      } else if (group.stamp.isPresent()) {
        plan.guards.add(new Guard(group.key, group.stamp.get()));
        plan.put(group, size);
        group.stamp = Optional.empty();
      } else {
        plan.put(group(List.copyOf(group.members.values()), plan), size);
        plan.removed.add(group);
        plan.changes.add(new Change.Remove(group.key));
      }
    }
  }

  /** Bytes of a record as the service counts them, or somewhat more. */
  private static double size(StoredValue.MachineRecord record) {
    return BYTES_OF_A_RECORD
        + bytes(record.id().value())
        + bytes(record.address())
        + bytes(record.type())
        + bytes(record.zone());
  }

  private static int bytes(String text) {
    return text.chars().map(c -> c < 128 ? 1 : 3).sum();
  }
}
