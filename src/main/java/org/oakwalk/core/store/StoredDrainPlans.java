package org.oakwalk.core.store;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.Revision;

/** The copy of the plans to empty machines, by name. */
public final class StoredDrainPlans {
  private record StoredDrainPlan(StoredValue.DrainRecord record, Revision revision) {}

  private final Map<String, StoredDrainPlan> plans = new TreeMap<>();
  private final Set<String> unreadable = new HashSet<>();

  void put(String key, StoredValue.DrainRecord record, Revision stamp) {
    plans.put(key, new StoredDrainPlan(record, stamp));
    unreadable.remove(key);
  }

  void markUnreadable(String key) {
    if (key.startsWith(StoreKeys.DRAIN_PREFIX)) {
      plans.remove(key);
      unreadable.add(key);
    }
  }

  /** All that can be read. */
  public Collection<StoredValue.DrainRecord> all() {
    return plans.values().stream().map(StoredDrainPlan::record).toList();
  }

  /** The plan of this name. */
  public Optional<StoredValue.DrainRecord> find(String name) {
    return Optional.ofNullable(plans.get(StoreKeys.drain(name))).map(StoredDrainPlan::record);
  }

  /** When the plan of this name was stored; none if there is no such plan. */
  public Revision revision(String name) {
    StoredDrainPlan plan = plans.get(StoreKeys.drain(name));
    return plan == null ? Revision.NONE : plan.revision();
  }

  /** Whether there is a plan of this name that can't be read. */
  public boolean isUnreadable(String name) {
    return unreadable.contains(StoreKeys.drain(name));
  }
}
