package org.oakwalk.core.capacity;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/**
 * Writes the machine types to the state store, so that while the cloud is unavailable a starting
 * node can accept requests and a new leader can take over.
 */
public final class MachineTypeWriter {
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.seconds(5);

  /** Upper bound of the stored size of one machine type. */
  private static final int MAX_BYTES_PER_TYPE = 300;

  private final Outbox outbox;
  private final StoreView view;
  private final Guard guard;
  private final int maxTypes;
  private boolean writeInFlight;
  private MonotonicTime nextAttemptAt = new MonotonicTime(Long.MIN_VALUE / 2);

  public MachineTypeWriter(
      Outbox outbox, StoreView view, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.view = view;
    this.guard = guard;
    this.maxTypes = (int) (limits.valueKb() * 1024 / MAX_BYTES_PER_TYPE);
  }

  /**
   * Stores the types if they differ from the stored ones in more than the prices, which change
   * continuously.
   */
  public void tick(Map<String, MachineType> types, MonotonicTime now) {
    if (writeInFlight
        || nextAttemptAt.isAfter(now)
        || types.size() > maxTypes
        || equalExceptPrices(types, view.machineTypes())) {
      return;
    }
    writeInFlight = true;
    nextAttemptAt = now.plus(RETRY_INTERVAL);
    outbox.call(
        new Request.Commit(
            // Also guards the record's revision: otherwise a write without an answer could be
            // applied after a newer one and restore outdated types.
            List.of(guard, new Guard(StoreKeys.MACHINE_TYPES, view.machineTypesRevision())),
            List.of(
                new Change.Put(
                    StoreKeys.MACHINE_TYPES,
                    new StoredValue.MachineTypesRecord(types),
                    Optional.empty())),
            Request.Urgency.ROUTINE),
        answer -> writeInFlight = false);
  }

  private static boolean equalExceptPrices(
      Map<String, MachineType> one, Map<String, MachineType> other) {
    return one.keySet().equals(other.keySet())
        && one.values().stream().allMatch(type -> type.equalsExceptPrices(other.get(type.name())));
  }
}
