package org.oakwalk.core.capacity;

import java.util.Map;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;

/** Machine types offered by the cloud, as of the last successful read. */
public final class MachineTypeCatalog {
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.millis(700);
  private static final TimeSpan LEADER_REFRESH_INTERVAL = TimeSpan.seconds(60);
  private static final TimeSpan FOLLOWER_REFRESH_INTERVAL = TimeSpan.seconds(600);

  private final Outbox outbox;
  private Map<String, MachineType> types = Map.of();
  private boolean requestInFlight;
  private MonotonicTime lastRead = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextAttemptAt = new MonotonicTime(Long.MIN_VALUE / 2);

  public MachineTypeCatalog(Outbox outbox) {
    this.outbox = outbox;
  }

  public Map<String, MachineType> types() {
    return types;
  }

  /**
   * Refreshes the machine types when they are due.
   *
   * @param stored the types from the state store, used until the cloud has answered
   */
  public void tick(boolean leading, Map<String, MachineType> stored, MonotonicTime now) {
    if (types.isEmpty()) {
      types = stored;
    }
    TimeSpan maxAge = leading ? LEADER_REFRESH_INTERVAL : FOLLOWER_REFRESH_INTERVAL;
    if (requestInFlight || nextAttemptAt.isAfter(now) || !now.isPast(lastRead, maxAge)) {
      return;
    }
    requestInFlight = true;
    outbox.call(
        new Request.FetchCatalog(),
        answer -> {
          requestInFlight = false;
          nextAttemptAt = now.plus(RETRY_INTERVAL);
          if (answer instanceof Answer.Catalog catalog && !catalog.types().isEmpty()) {
            types = catalog.types();
            lastRead = now;
          }
        });
  }
}
