package org.oakwalk.core.capacity;

import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;

/** The cloud's machine types as last read. */
public final class Catalogue {
  private static final Span RETRY = Span.millis(700);
  private static final Span LEADER_REFRESH = Span.seconds(60);
  private static final Span REFRESH = Span.seconds(600);

  private final Outbox outbox;
  private Map<String, MachineType> types = Map.of();
  private boolean asking;
  private Moment read = new Moment(Long.MIN_VALUE / 2);
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  public Catalogue(Outbox outbox) {
    this.outbox = outbox;
  }

  public Map<String, MachineType> types() {
    return types;
  }

  /**
   * Reads the types now and then.
   *
   * @param stored what an earlier leader stored, for as long as the cloud has not answered
   */
  public void tick(boolean leading, Map<String, MachineType> stored, Moment now) {
    if (types.isEmpty()) {
      types = stored;
    }
    Span age = leading ? LEADER_REFRESH : REFRESH;
    if (asking || nextTry.isAfter(now) || !now.isPast(read, age)) {
      return;
    }
    asking = true;
    outbox.call(
        new Request.FetchCatalog(),
        answer -> {
          asking = false;
          nextTry = now.plus(RETRY);
          if (answer instanceof Answer.Catalog catalog && !catalog.types().isEmpty()) {
            types = catalog.types();
            read = now;
          }
        });
  }
}
