package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Maintains the stored list of machines that may have been sent commands. A machine is written
 * before its first task and removed once it is certain to be gone, so that the next leader knows
 * which machines have to confirm its token.
 *
 * <p>Machines that come up together are written under one key, since each key counts as a change
 * against the service's limit, which submissions of users need too. No machines are added to a key
 * after its first write. When some of its machines are gone, the key is rewritten without them,
 * guarded by its last known revision. If that revision is unknown because an answer was lost, the
 * remaining machines are written under a new key in the same transaction that removes the old one.
 * So no write that is applied late can remove a machine that still exists; docs/safety.md proves
 * this.
 */
public final class MachineRegistry {
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(500);

  /** Machines that come up within this interval are written together. */
  private static final TimeSpan COMMIT_INTERVAL = TimeSpan.millis(200);

  /** Limits the machines that are unknown to the next leader if one value is damaged. */
  private static final int MAX_MACHINES_PER_KEY = 50;

  /** Encoded size of a machine's record without its strings. */
  private static final int RECORD_OVERHEAD_BYTES = 24;

  /** Size of a key and of a value without records. */
  private static final int KEY_OVERHEAD_BYTES = 120;

  /** Fraction of the service's size limits that is used, since sizes are estimates. */
  private static final double USABLE_LIMIT_FRACTION = 0.8;

  private static final double MAX_COMMIT_BYTES = 60 * 1024 * USABLE_LIMIT_FRACTION;

  /** The machines under one key; without a revision, the stored value is unknown. */
  private static final class MachineBatch {
    private final String key;
    private Optional<Revision> revision;
    private final Map<MachineId, StoredValue.MachineRecord> members = new LinkedHashMap<>();
    private int storedCount;

    MachineBatch(String key, Optional<Revision> revision, List<StoredValue.MachineRecord> records) {
      this.key = key;
      this.revision = revision;
      records.forEach(record -> members.put(record.id(), record));
      storedCount = members.size();
    }

    boolean needsRewrite() {
      return members.size() < storedCount;
    }

    Change.Put toPut() {
      return new Change.Put(
          key,
          new StoredValue.MachineListRecord(List.copyOf(members.values())),
          Optional.<LeaseId>empty());
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
  private MonotonicTime nextAttemptAt = new MonotonicTime(Long.MIN_VALUE / 2);

  public MachineRegistry(Outbox outbox, Fleet fleet, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.guard = guard;
    this.changesPerCommit = limits.changesPerCommit();
    this.maxValueBytes =
        Math.min(limits.valueKb() * 1024 * USABLE_LIMIT_FRACTION, MAX_COMMIT_BYTES / 2);
  }

  /**
   * Adds the machines that an earlier leader stored under a key at a revision. Some may be stored
   * under an earlier key as well, if the answer to a write was lost and the leader failed before it
   * removed the duplicate; these are removed from this key.
   */
  public void restore(String key, Revision revision, List<StoredValue.MachineRecord> records) {
    MachineBatch batch = new MachineBatch(key, Optional.of(revision), records);
    batches.values().forEach(other -> batch.members.keySet().removeAll(other.members.keySet()));
    batches.put(key, batch);
  }

  /** Removes a machine that is certain to be gone. */
  public void machineGone(MachineId id) {
    batches.values().forEach(batch -> batch.members.remove(id));
  }

  /** A transaction on the list, and what it changes. */
  private static final class RegistryTransaction {
    final List<Guard> guards = new ArrayList<>();
    final List<Change> changes = new ArrayList<>();

    /** Batches that it writes, with their numbers of machines. */
    final Map<MachineBatch, Integer> batchSizes = new HashMap<>();

    /** Batches that it writes under a new key. */
    final List<MachineBatch> newBatches = new ArrayList<>();

    final List<MachineBatch> removedBatches = new ArrayList<>();

    /** Revisions of the rewritten and removed batches before the transaction. */
    final Map<MachineBatch, Optional<Revision>> previousRevisions = new HashMap<>();

    final List<Machine> registering = new ArrayList<>();
    double bytes;

    /** Whether registering machines are left over for the next transaction. */
    boolean incomplete;

    void put(MachineBatch batch, double size) {
      changes.add(batch.toPut());
      batchSizes.put(batch, batch.members.size());
      bytes += size;
    }
  }

  /** Starts the next transaction if there are changes to write and none is in flight. */
  public void tick(MonotonicTime now) {
    if (writing || nextAttemptAt.isAfter(now)) {
      return;
    }
    RegistryTransaction transaction = new RegistryTransaction();
    transaction.guards.add(guard);
    addRegistering(transaction);
    boolean registersMachines = !transaction.changes.isEmpty();
    if (!registersMachines) {
      addRewrites(transaction);
    }
    if (transaction.changes.isEmpty()) {
      return;
    }
    writing = true;
    outbox.call(
        new Request.Commit(
            transaction.guards,
            transaction.changes,
            registersMachines ? Request.Urgency.REGISTRATION : Request.Urgency.RESULT),
        answer -> {
          writing = false;
          if (answer instanceof Answer.Committed committed) {
            nextAttemptAt = transaction.incomplete ? now : now.plus(COMMIT_INTERVAL);
            applied(transaction, committed.revision());
          } else {
            // The machines may not be stored, so they must not get tasks yet.
            nextAttemptAt = now.plus(RETRY_DELAY);
            failed(transaction, answer instanceof Answer.Refused);
          }
        });
  }

  private void applied(RegistryTransaction transaction, Revision newRevision) {
    transaction.batchSizes.forEach(
        (batch, count) -> {
          batch.revision = Optional.of(newRevision);
          batch.storedCount = count;
        });
    transaction.removedBatches.forEach(batch -> batches.remove(batch.key));
    for (Machine machine : transaction.registering) {
      if (machine.state() == Machine.State.REGISTERING) {
        fleet.markUp(machine);
      }
    }
  }

  /**
   * Handles a transaction that was refused or whose outcome is unknown. If it is unknown, new keys
   * are removed later and their machines are written under other ones. A batch that was being moved
   * precedes its new key in the order of {@link #batches}, so the new key is never removed first.
   */
  private void failed(RegistryTransaction transaction, boolean refused) {
    if (refused) {
      transaction.previousRevisions.forEach((batch, revision) -> batch.revision = revision);
      transaction.newBatches.forEach(batch -> batches.remove(batch.key));
    } else {
      transaction.newBatches.forEach(batch -> batch.members.clear());
    }
  }

  /**
   * Adds a write of newly registering machines under a new key. A transaction writes one such key
   * only: when the nodes together exceed the service's rate, a single change is admitted far sooner
   * than several at once.
   */
  private void addRegistering(RegistryTransaction transaction) {
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
        transaction.incomplete = true;
        break;
      }
      records.add(record);
      transaction.registering.add(machine);
    }
    if (!records.isEmpty()) {
      transaction.put(newBatch(records, transaction), size);
    }
  }

  private MachineBatch newBatch(
      List<StoredValue.MachineRecord> records, RegistryTransaction transaction) {
    MachineBatch batch =
        new MachineBatch(
            StoreKeys.machineList(new Token(guard.revision().value()), ++lastKeyNumber),
            Optional.empty(),
            records);
    batches.put(batch.key, batch);
    transaction.newBatches.add(batch);
    return batch;
  }

  /** Adds rewrites and removals of keys whose machines are partly or all gone. */
  private void addRewrites(RegistryTransaction transaction) {
    for (MachineBatch batch : List.copyOf(batches.values())) {
      if (!batch.needsRewrite()) {
        continue;
      }
      if (transaction.changes.size() + 2 > Math.max(2, changesPerCommit)
          || transaction.bytes + maxValueBytes > MAX_COMMIT_BYTES) {
        return;
      }
      transaction.previousRevisions.put(batch, batch.revision);
      double size =
          KEY_OVERHEAD_BYTES
              + batch.members.values().stream().mapToDouble(MachineRegistry::estimatedBytes).sum();
      if (batch.members.isEmpty()) {
        transaction.removedBatches.add(batch);
        transaction.changes.add(new Change.Remove(batch.key));
      } else if (batch.revision.isPresent()) {
        transaction.guards.add(new Guard(batch.key, batch.revision.get()));
        transaction.put(batch, size);
        batch.revision = Optional.empty();
      } else {
        transaction.put(newBatch(List.copyOf(batch.members.values()), transaction), size);
        transaction.removedBatches.add(batch);
        transaction.changes.add(new Change.Remove(batch.key));
      }
    }
  }

  /** Upper estimate of the size of a record as counted by the service. */
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
