package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;

/**
 * Learns how long machines take to come up, for each type, zone and kind: how late one has to be to
 * be replaced, how late to be given up, and where machines have failed to come up of late.
 */
public final class Boots {
  private static final double WEIGHT = 0.25;

  /** What usual boots take may be exceeded this often before a replacement is rented. */
  private static final double REPLACED_AFTER = 1.6;

  /** And this often before the machine is given up; it is charged all the while. */
  private static final double GIVEN_UP_AFTER = 3.2;

  /** Boots vary by about so much over the type's own time without being late. */
  private static final double USUAL_MOST = 1.6;

  /** Late boots may use up the operators' patience so many times, but only where some came late. */
  private static final double MOST_PATIENCE = 2;

  /** What patience gains by each machine in a row that was given up. */
  private static final double PATIENCE_GAINED = 0.25;

  private static final int MOST_IN_A_ROW = 4;
  private static final int BLAMED_AFTER = 2;
  private static final Span BLAMED_FOR = Span.seconds(90);

  /** Machines of one sort in one zone. */
  public record Sort(String type, String zone, boolean spot) {
    static Sort of(Machine machine) {
      return new Sort(machine.type().name(), machine.zone(), machine.spot());
    }
  }

  private static final class Record {
    double seconds;
    double deviation;
    int givenUp;
    Moment failed = new Moment(Long.MIN_VALUE / 2);
  }

  private final Span patience;
  private final Map<Sort, Record> records = new HashMap<>();

  /**
   * A record without entries.
   *
   * @param patience how long a machine may boot at most, as long as none has come late
   */
  Boots(Span patience) {
    this.patience = patience;
  }

  /** A machine came up after booting this long. */
  void came(Sort sort, MachineType type, Span took) {
    Record record = record(sort, type);
    double off = took.asSeconds() - record.seconds;
    record.givenUp = 0;
    record.seconds += WEIGHT * off;
    record.deviation += WEIGHT * (Math.abs(off) - record.deviation);
  }

  /**
   * A machine was given up. Where none comes up at all they may be late rather than dead, which
   * only more patience can tell.
   */
  void failed(Sort sort, MachineType type, Moment now) {
    Record record = record(sort, type);
    record.givenUp++;
    record.failed = now;
  }

  /**
   * Whether machines of this sort failed to come up one after the other a short time ago. A single
   * one tells nothing: some fail everywhere.
   */
  boolean blamed(Sort sort, Moment now) {
    Record record = records.get(sort);
    return noneComes(record) && !now.isPast(record.failed, BLAMED_FOR);
  }

  /** Whether any sort of machines is blamed. */
  boolean anyBlamed(Moment now) {
    return records.keySet().stream().anyMatch(sort -> blamed(sort, now));
  }

  private static boolean noneComes(Record record) {
    return record != null && record.givenUp >= BLAMED_AFTER;
  }

  /** After what time a machine that still boots is replaced. */
  Span replacedAfter(Sort sort, MachineType type) {
    return usual(sort, type).times(REPLACED_AFTER);
  }

  /** After what time a machine that still boots is given up. */
  Span givenUpAfter(Sort sort, MachineType type) {
    Record record = records.get(sort);
    boolean noneComes = noneComes(record);
    int inARow = noneComes ? Math.min(MOST_IN_A_ROW, record.givenUp) : 0;
    Span late = usual(sort, type).times(GIVEN_UP_AFTER * (1 + inARow * PATIENCE_GAINED));
    boolean known = noneComes || usual(sort, type).compareTo(type.bootTime().times(USUAL_MOST)) > 0;
    Span most = known ? patience.times(MOST_PATIENCE) : patience;
    return late.compareTo(most) < 0 ? late : most;
  }

  /** What boots take of late with their spread, but no less than the type's own time. */
  private Span usual(Sort sort, MachineType type) {
    Record record = records.get(sort);
    double seconds = record == null ? 0 : record.seconds + record.deviation;
    return Span.seconds(Math.max(type.bootTime().asSeconds(), seconds));
  }

  private Record record(Sort sort, MachineType type) {
    return records.computeIfAbsent(
        sort,
        s -> {
          Record record = new Record();
          record.seconds = type.bootTime().asSeconds();
          return record;
        });
  }
}
