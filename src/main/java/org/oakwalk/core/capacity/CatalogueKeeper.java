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
public final class CatalogueKeeper {
  private static final Span RETRY = Span.seconds(5);

  /** More than the record of one type takes. */
  private static final int BYTES_OF_A_TYPE = 300;

  private final Outbox outbox;
  private final StoreView view;
  private final Guard guard;
  private final int mostTypes;
  private boolean writing;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  public CatalogueKeeper(Outbox outbox, StoreView view, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.view = view;
    this.guard = guard;
    this.mostTypes = (int) (limits.valueKb() * 1024 / BYTES_OF_A_TYPE);
  }

  /** Stores the types if they differ in more than their prices, which move all the time. */
  public void tick(Map<String, MachineType> types, Moment now) {
    if (writing
        || nextTry.isAfter(now)
        || types.size() > mostTypes
        || same(types, view.machineTypes())) {
      return;
    }
    writing = true;
    nextTry = now.plus(RETRY);
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
            Request.Urgency.ROUTINE),
        answer -> writing = false);
  }

  private static boolean same(Map<String, MachineType> one, Map<String, MachineType> other) {
    return one.keySet().equals(other.keySet())
        && one.values().stream().allMatch(type -> type.equalsExceptPrices(other.get(type.name())));
  }
}
