package org.oakwalk.core.capacity;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/**
 * Keeps the machine types in the store, so that a node that starts while the cloud is down can take
 * requests and a leader can take over.
 */
public final class MachineTypeWriter {
  private static final Span RETRY_INTERVAL = Span.seconds(5);

  /** More than the record of one type takes. */
  private static final int MAX_BYTES_PER_TYPE = 300;

  private final Outbox outbox;
  private final StoreView view;
  private final Guard guard;
  private final int maxTypes;
  private boolean writeInFlight;
  private Moment nextAttemptAt = new Moment(Long.MIN_VALUE / 2);

  public MachineTypeWriter(
      Outbox outbox, StoreView view, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.view = view;
    this.guard = guard;
    this.maxTypes = (int) (limits.valueKb() * 1024 / MAX_BYTES_PER_TYPE);
  }

  /** Stores the types if they differ in more than their prices, which move all the time. */
  public void tick(Map<String, MachineType> types, Moment now) {
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
            // Also on the record's version, or a write whose answer was lost could be applied after
            // a newer one and bring older types back.
            List.of(guard, new Guard(StoreKeys.MACHINE_TYPES, view.machineTypesRevision())),
            List.of(
                new Change.Put(
                    StoreKeys.MACHINE_TYPES,
                    new StoredValue.MachineTypesRecord(types),
                    Optional.empty())),
            Request.Urgency.REST),
        answer -> writeInFlight = false);
  }

  private static boolean equalExceptPrices(
      Map<String, MachineType> one, Map<String, MachineType> other) {
    return one.keySet().equals(other.keySet())
        && one.values().stream().allMatch(type -> type.sameBut(other.get(type.name())));
  }
}
