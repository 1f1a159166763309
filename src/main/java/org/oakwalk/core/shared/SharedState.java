package org.oakwalk.core.shared;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records that a leader keeps in the store for its successors: read whole once, then written by
 * this leader alone, under the guard of the leader key. All of them together use a stated share of
 * the state service's changes, so that acceptance, withdrawals and results always go before.
 */
public final class SharedState {
  private static final Logger LOG = LoggerFactory.getLogger(SharedState.class);
  private static final Span RETRY = Span.millis(250);

  /** Part of the state service's changes a second that all records together may use. */
  private static final double SHARE = 0.1;

  private final Outbox outbox;
  private final Guard leader;
  private final Settings.StateLimits limits;
  private final Map<String, KeptRecord<?>> records = new TreeMap<>();
  private final Map<String, StoredValue> found = new HashMap<>();
  private final Map<String, Revision> stamps = new HashMap<>();
  private Optional<String> after = Optional.empty();
  private boolean reading;
  private boolean read;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);
  private int first;
  private double allowance;
  private Moment allowedUntil;

  /**
   * Nothing read yet.
   *
   * @param leader that this leader leads
   */
  public SharedState(Outbox outbox, Guard leader, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.leader = leader;
    this.limits = limits;
  }

  /**
   * Declares a record; to be called before the first tick.
   *
   * @param name tells it from others, letters only; part of its keys
   * @param rows the rows it consists of; any others make it broken
   */
  public <R extends SharedRow> SharedRecord<R> record(String name, Class<R> rows) {
    KeptRecord<R> record = new KeptRecord<>(name, rows, outbox, leader, limits);
    records.put(name, record);
    return record;
  }

  /** Whether all records are known. */
  public boolean known() {
    return read;
  }

  /** Reads the records once, then stores what is wanted, as far as the share allows. */
  public void tick(Moment now) {
    if (!read) {
      read(now);
      return;
    }
    allow(now);
    // Each time another one is asked first, so that none starves the others.
    List<KeptRecord<?>> inTurn = new ArrayList<>(records.values());
    Collections.rotate(inTurn, -first);
    for (KeptRecord<?> record : inTurn) {
      if (allowance <= 0) {
        return;
      }
      allowance -= record.tick(now);
    }
    first = inTurn.isEmpty() ? 0 : (first + 1) % inTurn.size();
  }

  /** What was not used is not saved up beyond a second's worth, or what one commit takes. */
  private void allow(Moment now) {
    double perSecond = limits.writesPerSecond() * SHARE;
    if (allowedUntil != null) {
      allowance += now.since(allowedUntil).asSeconds() * perSecond;
    }
    allowance = Math.min(allowance, Math.max(1, perSecond));
    allowedUntil = now;
  }

  private void read(Moment now) {
    if (reading || nextTry.isAfter(now)) {
      return;
    }
    reading = true;
    outbox.call(
        new Request.ReadPage(Keys.SHARED, after, Request.Urgency.LEADERSHIP),
        answer -> {
          reading = false;
          if (!(answer instanceof Answer.Page page)) {
            nextTry = now.plus(RETRY);
            return;
          }
          for (Entry entry : page.entries()) {
            found.put(entry.key(), entry.value());
            stamps.put(entry.key(), entry.stamp());
          }
          if (page.hasMore() && !page.entries().isEmpty()) {
            after = Optional.of(page.entries().get(page.entries().size() - 1).key());
          } else {
            finish();
          }
        });
  }

  private void finish() {
    read = true;
    List<String> names = new ArrayList<>();
    for (KeptRecord<?> record : records.values()) {
      record.take(found, stamps);
      names.add(record.summary());
    }
    found.clear();
    stamps.clear();
    if (!names.isEmpty()) {
      LOG.info("shared records read: {}", String.join(", ", names));
    }
  }
}
