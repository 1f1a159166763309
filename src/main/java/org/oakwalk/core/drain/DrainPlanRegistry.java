package org.oakwalk.core.drain;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The drain plans in force, which are those in the state store. A plan declared in this node's
 * policy file is stored if its version is higher than the stored one. The id of the newest machine
 * is stored with it and suffices to determine the plan's progress: machines rented later have
 * higher ids. If nodes have different files, the highest version applies.
 */
public final class DrainPlanRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(DrainPlanRegistry.class);
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.seconds(5);
  private static final int MAX_PLANS = 32;

  private final Outbox outbox;
  private final StoreView view;
  private final Guard guard;
  private final Fleet fleet;
  private final List<DrainPlan> declared;
  private final Set<String> loggedWarnings = new HashSet<>();
  private boolean writeInFlight;
  private MonotonicTime nextAttemptAt = new MonotonicTime(Long.MIN_VALUE / 2);

  public DrainPlanRegistry(
      Outbox outbox, StoreView view, Guard guard, Fleet fleet, List<DrainPlan> declared) {
    this.outbox = outbox;
    this.view = view;
    this.guard = guard;
    this.fleet = fleet;
    this.declared = declared;
  }

  /** Returns the plans in force, regardless of their status. */
  Collection<StoredValue.DrainRecord> plans() {
    return view.drainPlans().all();
  }

  /** Returns whether no plan is declared or stored. */
  boolean isEmpty() {
    return declared.isEmpty() && view.drainPlans().all().isEmpty();
  }

  /**
   * Stores plans that are new in this node's file; call only once the fleet is completely known.
   */
  void tick(MonotonicTime now) {
    if (writeInFlight || nextAttemptAt.isAfter(now)) {
      return;
    }
    for (DrainPlan plan : declared) {
      Optional<StoredValue.DrainRecord> stored = view.drainPlans().find(plan.name());
      if (view.drainPlans().isUnreadable(plan.name())) {
        warnOnce(
            plan.name() + " unreadable", "drain {}: the stored plan is unreadable", plan.name());
      } else if (stored.isEmpty() || stored.get().plan().version() < plan.version()) {
        if (view.drainPlans().all().size() < MAX_PLANS || stored.isPresent()) {
          store(plan, now);
          return;
        }
        warnOnce(
            plan.name() + " many",
            "drain {}: not stored because the store already holds the maximum number of plans",
            plan.name());
      } else if (!stored.get().plan().equals(plan)) {
        warnOnce(
            plan.name() + stored.get().plan().version(),
            "drain {}: stored version {} applies; the file has a different plan with version {}",
            plan.name(),
            stored.get().plan().version(),
            plan.version());
      }
    }
  }

  private void warnOnce(String key, String format, Object... arguments) {
    if (loggedWarnings.add(key)) {
      LOG.warn(format, arguments);
    }
  }

  private void store(DrainPlan plan, MonotonicTime now) {
    writeInFlight = true;
    nextAttemptAt = now.plus(RETRY_INTERVAL);
    MachineId newest = new MachineId("");
    int selected = 0;
    for (Machine machine : fleet.machines()) {
      newest = machine.id().compareTo(newest) > 0 ? machine.id() : newest;
      selected += plan.selects(machine) ? 1 : 0;
    }
    for (String name : plan.machines()) {
      if (fleet.find(new MachineId(name)).isEmpty()) {
        LOG.warn("drain {}: unknown machine {}", plan.name(), name);
      }
    }
    StoredValue.DrainRecord record = new StoredValue.DrainRecord(plan, newest, selected);
    String key = StoreKeys.drain(plan.name());
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(key, view.drainPlans().revision(plan.name()))),
            List.of(new Change.Put(key, record, Optional.empty())),
            Request.Urgency.ROUTINE),
        answer -> {
          writeInFlight = false;
          if (answer instanceof Answer.Committed) {
            LOG.info(
                "drain {} version {} stored with status {}: {} machines selected, newest id {}",
                plan.name(),
                plan.version(),
                plan.status(),
                record.selectedMachines(),
                record.newestMachine());
          }
        });
  }
}
