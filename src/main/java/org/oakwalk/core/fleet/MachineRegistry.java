package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.HoldId;
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
public final class MachineRegistry {
  private static final Span RETRY_DELAY = Span.millis(500);

  /** Machines that come up within this time are written together. */
  private static final Span COMMIT_INTERVAL = Span.millis(200);

  /** Most machines under one key, so that a damaged one leaves few in doubt. */
  private static final int MAX_MACHINES_PER_KEY = 50;

  /** What a machine's record takes beside its texts. */
  private static final int RECORD_OVERHEAD_BYTES = 24;

  private static final int KEY_OVERHEAD_BYTES = 120;

  /** Part of the service's limits that is used, since sizes are estimates. */
  private static final double USABLE_LIMIT_FRACTION = 0.8;

  private static final double MAX_COMMIT_BYTES = 60 * 1024 * USABLE_LIMIT_FRACTION;

  /** What is stored under one key; without a version it is not known how it stands. */
  private static final class MachineBatch {
    private final String key;
    private Optional<Revision> revision;
    private final Map<MachineId, StoredValue.MachineRecord> members = new LinkedHashMap<>();
    private int storedCount;

    MachineBatch(String key, Optional<Revision> stamp, List<StoredValue.MachineRecord> records) {
      this.key = key;
      this.revision = stamp;
      records.forEach(record -> members.put(record.id(), record));
      storedCount = members.size();
    }

    boolean needsRewrite() {
      return members.size() < storedCount;
    }

    Change.Put toPut() {
      return new Change.Put(
          key,
          new StoredValue.MachinesRecord(List.copyOf(members.values())),
          Optional.<HoldId>empty());
    }
  }

  private final Outbox outbox;
  private final Fleet fleet;
  private final Guard guard;
  private final int changesPerCommit;
  private final double maxValueBytes;
  private final Map<String, MachineBatch> batches = new LinkedHashMap<>();
  private long lastKeyNumber;
  private boolean writing;
  private Moment nextAttemptAt = new Moment(Long.MIN_VALUE / 2);

  public MachineRegistry(Outbox outbox, Fleet fleet, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.guard = guard;
    this.changesPerCommit = limits.changesPerCommit();
    this.maxValueBytes =
        Math.min(limits.valueKb() * 1024 * USABLE_LIMIT_FRACTION, MAX_COMMIT_BYTES / 2);
  }

  /**
   * These machines were found under this key, as it was written at this revision. Some may stand
   * under an earlier one as well, if the answer to a write got lost and its leader fell before it
   * removed what it had written twice; they leave this one.
   */
  public void restore(String key, Revision stamp, List<StoredValue.MachineRecord> records) {
    MachineBatch group = new MachineBatch(key, Optional.of(stamp), records);
    batches.values().forEach(other -> group.members.keySet().removeAll(other.members.keySet()));
    batches.put(key, group);
  }

  /** The machine is surely gone. */
  public void machineGone(MachineId id) {
    batches.values().forEach(group -> group.members.remove(id));
  }

  /** What one transaction does to the list. */
  private static final class RegistryTransaction {
    final List<Guard> guards = new ArrayList<>();
    final List<Change> changes = new ArrayList<>();

    /** Written by it, with how many machines. */
    final Map<MachineBatch, Integer> batchSizes = new HashMap<>();

    /** Those of them that are new. */
    final List<MachineBatch> newBatches = new ArrayList<>();

    final List<MachineBatch> removedBatches = new ArrayList<>();

    /** How the others stood before. */
    final Map<MachineBatch, Optional<Revision>> previousRevisions = new HashMap<>();

    final List<Machine> registering = new ArrayList<>();
    double bytes;

    /** More are waiting that found no room in it. */
    boolean incomplete;

    void put(MachineBatch group, double size) {
      changes.add(group.toPut());
      batchSizes.put(group, group.members.size());
      bytes += size;
    }
  }

  public void tick(Moment now) {
    if (writing || nextAttemptAt.isAfter(now)) {
      return;
    }
    RegistryTransaction plan = new RegistryTransaction();
    plan.guards.add(guard);
    addRegistering(plan);
    boolean entering = !plan.changes.isEmpty();
    if (!entering) {
      addRewrites(plan);
    }
    if (plan.changes.isEmpty()) {
      return;
    }
    writing = true;
    outbox.call(
        new Request.Commit(
            plan.guards,
            plan.changes,
            entering ? Request.Urgency.ENROLMENT : Request.Urgency.RESULT),
        answer -> {
          writing = false;
          if (answer instanceof Answer.Committed committed) {
            nextAttemptAt = plan.incomplete ? now : now.plus(COMMIT_INTERVAL);
            applied(plan, committed.epoch());
          } else {
            // Not known to be stored, so the machines take no tasks yet.
            nextAttemptAt = now.plus(RETRY_DELAY);
            failed(plan, answer instanceof Answer.Refused);
          }
        });
  }

  private void applied(RegistryTransaction plan, Revision at) {
    plan.batchSizes.forEach(
        (group, count) -> {
          group.revision = Optional.of(at);
          group.storedCount = count;
        });
    plan.removedBatches.forEach(group -> batches.remove(group.key));
    for (Machine machine : plan.registering) {
      if (machine.state() == Machine.State.REGISTERING) {
        fleet.markUp(machine);
      }
    }
  }

  /**
   * A transaction was refused, or nobody knows what became of it. In the latter case a new key is
   * removed by the next one, which writes its machines under yet another: whoever is moved comes
   * before its key in the order of {@link #batches}, so it can't be removed first.
   */
  private void failed(RegistryTransaction plan, boolean refused) {
    if (refused) {
      plan.previousRevisions.forEach((group, stamp) -> group.revision = stamp);
      plan.newBatches.forEach(group -> batches.remove(group.key));
    } else {
      plan.newBatches.forEach(group -> group.members.clear());
    }
  }

  /**
   * Writes machines that have come up under a new key. One at a time: where all nodes together ask
   * for too much, the service has a single change to spare far sooner than several at once.
   */
  private void addRegistering(RegistryTransaction plan) {
    List<StoredValue.MachineRecord> records = new ArrayList<>();
    double size = KEY_OVERHEAD_BYTES;
    for (Machine machine : fleet.machines()) {
      if (machine.state() != Machine.State.REGISTERING) {
        continue;
      }
      StoredValue.MachineRecord record =
          new StoredValue.MachineRecord(
              machine.id(),
              machine.address(),
              machine.type().name(),
              machine.zone(),
              machine.spot());
      size += estimatedBytes(record);
      if (!records.isEmpty() && (records.size() >= MAX_MACHINES_PER_KEY || size > maxValueBytes)) {
        plan.incomplete = true;
        break;
      }
      records.add(record);
      plan.registering.add(machine);
    }
    if (!records.isEmpty()) {
      plan.put(newBatch(records, plan), size);
    }
  }

  private MachineBatch newBatch(List<StoredValue.MachineRecord> records, RegistryTransaction plan) {
    MachineBatch group =
        new MachineBatch(
            Keys.machines(new Token(guard.stamp().value()), ++lastKeyNumber),
            Optional.empty(),
            records);
    batches.put(group.key, group);
    plan.newBatches.add(group);
    return group;
  }

  /** Takes out what is gone. */
  private void addRewrites(RegistryTransaction plan) {
    for (MachineBatch group : List.copyOf(batches.values())) {
      if (!group.needsRewrite()) {
        continue;
      }
      if (plan.changes.size() + 2 > Math.max(2, changesPerCommit)
          || plan.bytes + maxValueBytes > MAX_COMMIT_BYTES) {
        return;
      }
      plan.previousRevisions.put(group, group.revision);
      double size =
          KEY_OVERHEAD_BYTES
              + group.members.values().stream().mapToDouble(MachineRegistry::estimatedBytes).sum();
      if (group.members.isEmpty()) {
        plan.removedBatches.add(group);
        plan.changes.add(new Change.Remove(group.key));
      } else if (group.revision.isPresent()) {
        plan.guards.add(new Guard(group.key, group.revision.get()));
        plan.put(group, size);
        group.revision = Optional.empty();
      } else {
        plan.put(newBatch(List.copyOf(group.members.values()), plan), size);
        plan.removedBatches.add(group);
        plan.changes.add(new Change.Remove(group.key));
      }
    }
  }

  /** Bytes of a record as the service counts them, or somewhat more. */
  private static double estimatedBytes(StoredValue.MachineRecord record) {
    return RECORD_OVERHEAD_BYTES
        + utf8Bytes(record.id().value())
        + utf8Bytes(record.address())
        + utf8Bytes(record.type())
        + utf8Bytes(record.zone());
  }

  private static int utf8Bytes(String text) {
    return text.chars().map(c -> c < 128 ? 1 : 3).sum();
  }
}
