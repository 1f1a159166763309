package org.oakwalk.core.shared;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.CallId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Successive leaders write one record while answers are lost and commits are refused or applied
 * late, in random order. Readers must always see a complete revision, never one older than a
 * confirmed one, and finally the rows requested last.
 */
class StoredSharedRecordTest {
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(100, 50, 1, 3);
  private static final int SEEDS = 1500;
  private static final int STEPS = 400;
  private static final int STEP_MILLIS = 100;
  private static final int PAGE_SIZE = 2;

  /** A row that carries the number of its write request and the number of rows in it. */
  private record Row(int writeNumber, int index, int rowCount) implements SharedRow {
    @Override
    public int maxJsonBytes() {
      return 150 + 40 * (index % 4);
    }
  }

  /** A request that has not reached the store yet; awaited if its sender still waits. */
  private record PendingRequest(Leader from, CallId call, Request request, boolean awaited) {}

  private static final class Leader {
    final Outbox outbox = new Outbox();
    final SharedRecords state;
    final SharedRecord<Row> record;

    Leader(Revision token) {
      state = new SharedRecords(outbox, new Guard(StoreKeys.LEADER, token), LIMITS);
      record = state.declare("rows", Row.class);
    }
  }

  /** One run with a random sequence of events. */
  private static final class RandomRun {
    private final UniformRandomProvider random;
    private final boolean headGuardChecked;
    private final TreeMap<String, Entry> store = new TreeMap<>();
    private final List<Leader> leaders = new ArrayList<>();
    private List<PendingRequest> pending = new ArrayList<>();
    private long revision = 1;
    private int writeCount;
    private int lastWrite;
    private int confirmed;
    private int changes;
    private boolean faultsEnabled = true;

    RandomRun(long seed, boolean headGuardChecked) {
      this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
      this.headGuardChecked = headGuardChecked;
      electLeader();
    }

    private void electLeader() {
      revision++;
      store.put(
          StoreKeys.LEADER,
          new Entry(StoreKeys.LEADER, new StoredValue.Unreadable(""), new Revision(revision)));
      leaders.add(new Leader(new Revision(revision)));
    }

    private Leader currentLeader() {
      return leaders.get(leaders.size() - 1);
    }

    void play() {
      long now = 0;
      for (int step = 0; step < STEPS; step++, now += STEP_MILLIS) {
        faultsEnabled = step < STEPS / 2;
        step(step, new MonotonicTime(now));
      }
      assertThat(currentLeader().record.isUpToDate()).as("up to date").isTrue();
      assertThat(readAsNewLeader()).as("number of the last write request").isEqualTo(lastWrite);
      assertThat(changes)
          .as("changes: a tenth of the write rate, plus a burst of one second or one commit")
          .isLessThanOrEqualTo((int) (now / 1000 * LIMITS.writesPerSecond() / 10) + 10);
    }

    private void step(int step, MonotonicTime now) {
      if (faultsEnabled && random.nextInt(60) == 0) {
        electLeader();
      }
      boolean finalWrite = step == STEPS * 3 / 4;
      if (finalWrite
          || faultsEnabled && currentLeader().record.isLoaded() && random.nextInt(4) == 0) {
        requestWrite(currentLeader());
      }
      for (Leader leader : leaders.subList(Math.max(0, leaders.size() - 2), leaders.size())) {
        leader.state.tick(now);
        for (Effect effect : leader.outbox.takeEffects()) {
          Effect.Call call = (Effect.Call) effect;
          pending.add(new PendingRequest(leader, call.call(), call.request(), true));
        }
      }
      List<PendingRequest> arriving = pending;
      pending = new ArrayList<>();
      Collections.shuffle(arriving, new java.util.Random(random.nextLong()));
      arriving.forEach(this::deliver);
      currentLeader().record.storedRows().stream()
          .findFirst()
          .ifPresent(row -> confirm(row.writeNumber()));
    }

    private void requestWrite(Leader leader) {
      int number = ++writeCount;
      int rows = 1 + random.nextInt(random.nextBoolean() ? 4 : 25);
      leader.record.requestWrite(
          IntStream.range(0, rows).mapToObj(i -> new Row(number, i, rows)).toList());
      lastWrite = number;
    }

    private void deliver(PendingRequest item) {
      int event = faultsEnabled ? random.nextInt(10) : 9;
      boolean staysInFlight = faultsEnabled && !item.awaited() && random.nextInt(20) > 0;
      if (event == 0 || staysInFlight) {
        pending.add(item);
      } else if (event == 1 && item.awaited()) {
        // The sender stops waiting for an answer while the request is still in flight.
        item.from().outbox.deliverAnswer(item.call(), new Answer.OutcomeUnknown("lost"));
        pending.add(new PendingRequest(item.from(), item.call(), item.request(), false));
      } else if (event == 2 && item.awaited()) {
        item.from().outbox.deliverAnswer(item.call(), new Answer.Refused(503, ""));
      } else {
        Answer answer = apply(item.request());
        if (item.awaited()) {
          item.from()
              .outbox
              .deliverAnswer(item.call(), event == 3 ? new Answer.OutcomeUnknown("lost") : answer);
        }
      }
    }

    private Answer apply(Request request) {
      if (request instanceof Request.ReadPage read) {
        List<Entry> all =
            store.values().stream()
                .filter(entry -> entry.key().startsWith(read.prefix()))
                .filter(entry -> read.after().stream().allMatch(a -> entry.key().compareTo(a) > 0))
                .toList();
        List<Entry> page = all.subList(0, Math.min(PAGE_SIZE, all.size()));
        return new Answer.Page(page, page.size() < all.size(), new Revision(revision));
      }
      Request.Commit commit = (Request.Commit) request;
      assertThat(commit.changes().size()).isLessThanOrEqualTo(LIMITS.changesPerCommit());
      changes += commit.changes().size();
      for (Guard guard : commit.guards()) {
        boolean checked = headGuardChecked || guard.key().equals(StoreKeys.LEADER);
        Revision stored =
            Optional.ofNullable(store.get(guard.key())).map(Entry::revision).orElse(Revision.NONE);
        if (checked && !stored.equals(guard.revision())) {
          return new Answer.Conflict(List.of(guard.key()));
        }
      }
      revision++;
      for (Change change : commit.changes()) {
        Change.Put put = (Change.Put) change;
        store.put(put.key(), new Entry(put.key(), put.value(), new Revision(revision)));
      }
      readAsNewLeader();
      return new Answer.Committed(new Revision(revision));
    }

    private void confirm(int number) {
      confirmed = Math.max(confirmed, number);
      readAsNewLeader();
    }

    /** Reads the record as a new leader would now; returns the number of its write request. */
    private int readAsNewLeader() {
      Outbox outbox = new Outbox();
      SharedRecords state =
          new SharedRecords(outbox, new Guard(StoreKeys.LEADER, Revision.NONE), LIMITS);
      SharedRecord<Row> record = state.declare("rows", Row.class);
      while (!state.isLoaded()) {
        state.tick(new MonotonicTime(0));
        for (Effect effect : outbox.takeEffects()) {
          Effect.Call call = (Effect.Call) effect;
          outbox.deliverAnswer(call.call(), apply(call.request()));
        }
      }
      assertThat(record.isUnusable()).as("unusable").isFalse();
      List<Row> rows = record.storedRows();
      int number = rows.isEmpty() ? 0 : rows.get(0).writeNumber();
      int rowCount = rows.isEmpty() ? 0 : rows.get(0).rowCount();
      assertThat(rows)
          .as("complete")
          .isEqualTo(
              IntStream.range(0, rowCount).mapToObj(i -> new Row(number, i, rowCount)).toList());
      assertThat(number).as("not older than the confirmed write").isGreaterThanOrEqualTo(confirmed);
      return number;
    }
  }

  @Test
  void readersNeverSeePartialOrOutdatedRevisions() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      try {
        new RandomRun(seed, true).play();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  /**
   * If the store ignores the guard on the head, late commits are applied and the test must fail.
   */
  @Test
  void lateCommitsAreDetectedIfTheHeadGuardIsIgnored() {
    long failures = 0;
    for (int seed = 1; seed <= 200; seed++) {
      try {
        new RandomRun(seed, false).play();
      } catch (AssertionError e) {
        failures++;
      }
    }
    assertThat(failures).isGreaterThan(20);
  }

  @Test
  void laterWriteReplacesPendingWrite() {
    Leader leader = new Leader(new Revision(1));
    leader.state.tick(new MonotonicTime(0));
    answer(leader, new Answer.Page(List.of(), false, new Revision(1)));
    long first = leader.record.requestWrite(List.of(new Row(1, 0, 1)));
    leader.state.tick(new MonotonicTime(1000));
    leader.state.tick(new MonotonicTime(2000));
    leader.record.requestWrite(List.of(new Row(2, 0, 1)));
    long last = leader.record.requestWrite(List.of(new Row(3, 0, 1)));
    answer(leader, new Answer.Committed(new Revision(2)));
    assertThat(leader.record.revision()).isEqualTo(first);
    leader.state.tick(new MonotonicTime(3000));
    answer(leader, new Answer.Committed(new Revision(3)));
    assertThat(leader.record.revision()).isEqualTo(last);
    assertThat(leader.record.storedRows()).containsExactly(new Row(3, 0, 1));
    assertThat(leader.record.requestWrite(List.of(new Row(3, 0, 1))))
        .as("no change")
        .isEqualTo(last);
    assertThat(leader.record.isUpToDate()).isTrue();
  }

  /** An unreadable record is not overwritten, and other records are still written. */
  @Test
  void damagedRecordDoesNotAffectOtherRecords() {
    Leader leader = new Leader(new Revision(1));
    SharedRecord<Row> other = leader.state.declare("sound", Row.class);
    leader.state.tick(new MonotonicTime(0));
    Entry damaged =
        new Entry(
            StoreKeys.sharedHead("rows"), new StoredValue.Unreadable("form 9"), new Revision(1));
    answer(leader, new Answer.Page(List.of(damaged), false, new Revision(1)));
    assertThat(leader.record.isUnusable()).isTrue();
    leader.record.requestWrite(List.of(new Row(1, 0, 1)));
    leader.state.tick(new MonotonicTime(1000));
    leader.state.tick(new MonotonicTime(2000));
    assertThat(leader.outbox.takeEffects()).isEmpty();
    other.requestWrite(List.of(new Row(1, 0, 1)));
    leader.state.tick(new MonotonicTime(3000));
    answer(leader, new Answer.Committed(new Revision(2)));
    assertThat(other.isUpToDate()).isTrue();
  }

  private static void answer(Leader leader, Answer answer) {
    List<Effect> effects = leader.outbox.takeEffects();
    assertThat(effects).hasSize(1);
    leader.outbox.deliverAnswer(((Effect.Call) effects.get(0)).call(), answer);
  }
}
