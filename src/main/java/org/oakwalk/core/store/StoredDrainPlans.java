package org.oakwalk.core.store;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.Revision;

/** The drain plans in this node's copy of the store. */
public final class StoredDrainPlans {
  private record StoredDrainPlan(StoredValue.DrainRecord record, Revision revision) {}

  private final Map<String, StoredDrainPlan> plans = new TreeMap<>();
  private final Set<String> unreadable = new HashSet<>();

  void put(String key, StoredValue.DrainRecord record, Revision revision) {
    plans.put(key, new StoredDrainPlan(record, revision));
    unreadable.remove(key);
  }

  void markUnreadable(String key) {
    if (key.startsWith(StoreKeys.DRAIN_PREFIX)) {
      plans.remove(key);
      unreadable.add(key);
    }
  }

  /** All readable plans, ordered by name. */
  public Collection<StoredValue.DrainRecord> all() {
    return plans.values().stream().map(StoredDrainPlan::record).toList();
  }

  /** The plan with this name, if it exists and can be read. */
  public Optional<StoredValue.DrainRecord> find(String name) {
    return Optional.ofNullable(plans.get(StoreKeys.drain(name))).map(StoredDrainPlan::record);
  }

  /** Revision at which the plan was stored; {@link Revision#NONE} if there is no readable plan. */
  public Revision revision(String name) {
    StoredDrainPlan plan = plans.get(StoreKeys.drain(name));
    return plan == null ? Revision.NONE : plan.revision();
  }

  /** Returns true if a plan with this name is stored but can't be read. */
  public boolean isUnreadable(String name) {
    return unreadable.contains(StoreKeys.drain(name));
  }
}
