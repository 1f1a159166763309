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
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoredValue;

/**
 * Leaders that follow each other write one record while answers are lost, commits are refused, or
 * apply late, in drawn orders. Whoever reads sees one revision whole, never an older one than
 * somebody has relied on, and in the end what was wanted last.
 */
class KeptRecordTest {
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(100, 50, 1, 3);
  private static final int SEEDS = 1500;
  private static final int STEPS = 400;
  private static final int STEP_MILLIS = 100;
  private static final int PAGE = 2;

  /** A row knows to which want it belongs, and how many that has. */
  private record Row(int want, int index, int of) implements SharedRow {
    @Override
    public int bytes() {
      return 150 + 40 * (index % 4);
    }
  }

  /** A request that the store has yet to see; whom to answer, if anybody still waits. */
  private record Sent(Leader from, CallId call, Request request, boolean waited) {}

  private static final class Leader {
    final Outbox outbox = new Outbox();
    final SharedState state;
    final SharedRecord<Row> record;

    Leader(Revision token) {
      state = new SharedState(outbox, new Guard(Keys.LEADER, token), LIMITS);
      record = state.record("rows", Row.class);
    }
  }

  /** One drawn run. */
  private static final class Run {
    private final UniformRandomProvider chance;
    private final boolean guarded;
    private final TreeMap<String, Entry> store = new TreeMap<>();
    private final List<Leader> leaders = new ArrayList<>();
    private List<Sent> sent = new ArrayList<>();
    private long epoch = 1;
    private int wants;
    private int lastWant;
    private int confirmed;
    private int changes;
    private boolean troubles = true;

    Run(long seed, boolean guarded) {
      this.chance = RandomSource.XO_SHI_RO_256_PP.create(seed);
      this.guarded = guarded;
      lead();
    }

    private void lead() {
      epoch++;
      store.put(
          Keys.LEADER, new Entry(Keys.LEADER, new StoredValue.Unreadable(""), new Revision(epoch)));
      leaders.add(new Leader(new Revision(epoch)));
    }

    private Leader last() {
      return leaders.get(leaders.size() - 1);
    }

    void play() {
      long now = 0;
      for (int step = 0; step < STEPS; step++, now += STEP_MILLIS) {
        troubles = step < STEPS / 2;
        step(step, new Moment(now));
      }
      assertThat(last().record.settled()).as("settled").isTrue();
      assertThat(seen()).as("what was wanted last").isEqualTo(lastWant);
      assertThat(changes)
          .as("a tenth of the changes, and a second's worth or a commit at once")
          .isLessThanOrEqualTo((int) (now / 1000 * LIMITS.writesPerSecond() / 10) + 10);
    }

    private void step(int step, Moment now) {
      if (troubles && chance.nextInt(60) == 0) {
        lead();
      }
      boolean lastly = step == STEPS * 3 / 4;
      if (lastly || troubles && last().record.known() && chance.nextInt(4) == 0) {
        want(last());
      }
      for (Leader leader : leaders.subList(Math.max(0, leaders.size() - 2), leaders.size())) {
        leader.state.tick(now);
        for (Effect effect : leader.outbox.takeEffects()) {
          Effect.Call call = (Effect.Call) effect;
          sent.add(new Sent(leader, call.call(), call.request(), true));
        }
      }
      List<Sent> here = sent;
      sent = new ArrayList<>();
      Collections.shuffle(here, new java.util.Random(chance.nextLong()));
      here.forEach(this::arrives);
      last().record.stored().stream().findFirst().ifPresent(row -> confirm(row.want()));
    }

    private void want(Leader leader) {
      int want = ++wants;
      int rows = 1 + chance.nextInt(chance.nextBoolean() ? 4 : 25);
      leader.record.want(IntStream.range(0, rows).mapToObj(i -> new Row(want, i, rows)).toList());
      lastWant = want;
    }

    private void arrives(Sent item) {
      int fate = troubles ? chance.nextInt(10) : 9;
      boolean lingers = troubles && !item.waited() && chance.nextInt(20) > 0;
      if (fate == 0 || lingers) {
        sent.add(item);
      } else if (fate == 1 && item.waited()) {
        // The answer is given up, the request is still on its way.
        item.from().outbox.deliverAnswer(item.call(), new Answer.OutcomeUnknown("lost"));
        sent.add(new Sent(item.from(), item.call(), item.request(), false));
      } else if (fate == 2 && item.waited()) {
        item.from().outbox.deliverAnswer(item.call(), new Answer.Refused(503, ""));
      } else {
        Answer answer = apply(item.request());
        if (item.waited()) {
          item.from()
              .outbox
              .deliverAnswer(item.call(), fate == 3 ? new Answer.OutcomeUnknown("lost") : answer);
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
        List<Entry> page = all.subList(0, Math.min(PAGE, all.size()));
        return new Answer.Page(page, page.size() < all.size(), new Revision(epoch));
      }
      Request.Commit commit = (Request.Commit) request;
      assertThat(commit.changes().size()).isLessThanOrEqualTo(LIMITS.changesPerCommit());
      changes += commit.changes().size();
      for (Guard guard : commit.guards()) {
        boolean looked = guarded || guard.key().equals(Keys.LEADER);
        Revision stamp =
            Optional.ofNullable(store.get(guard.key())).map(Entry::stamp).orElse(Revision.NONE);
        if (looked && !stamp.equals(guard.stamp())) {
          return new Answer.Conflict(List.of(guard.key()));
        }
      }
      epoch++;
      for (Change change : commit.changes()) {
        Change.Put put = (Change.Put) change;
        store.put(put.key(), new Entry(put.key(), put.value(), new Revision(epoch)));
      }
      seen();
      return new Answer.Committed(new Revision(epoch));
    }

    private void confirm(int want) {
      confirmed = Math.max(confirmed, want);
      seen();
    }

    /** What a new leader would find now. */
    private int seen() {
      Outbox outbox = new Outbox();
      SharedState state = new SharedState(outbox, new Guard(Keys.LEADER, Revision.NONE), LIMITS);
      SharedRecord<Row> record = state.record("rows", Row.class);
      while (!state.known()) {
        state.tick(new Moment(0));
        for (Effect effect : outbox.takeEffects()) {
          Effect.Call call = (Effect.Call) effect;
          outbox.deliverAnswer(call.call(), apply(call.request()));
        }
      }
      assertThat(record.broken()).as("broken").isFalse();
      List<Row> rows = record.stored();
      int want = rows.isEmpty() ? 0 : rows.get(0).want();
      int of = rows.isEmpty() ? 0 : rows.get(0).of();
      assertThat(rows)
          .as("whole")
          .isEqualTo(IntStream.range(0, of).mapToObj(i -> new Row(want, i, of)).toList());
      assertThat(want).as("not older than what was relied on").isGreaterThanOrEqualTo(confirmed);
      return want;
    }
  }

  @Test
  void revisionsAreSeenWholeAndNeverOlderThanWhatWasReliedOn() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      try {
        new Run(seed, true).play();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  /** A store that does not look at the head's version lets late commits through, which shows. */
  @Test
  void withoutTheHeadsGuardItWouldShow() {
    long found = 0;
    for (int seed = 1; seed <= 200; seed++) {
      try {
        new Run(seed, false).play();
      } catch (AssertionError e) {
        found++;
      }
    }
    assertThat(found).isGreaterThan(20);
  }

  @Test
  void laterValuesAreWrittenInPlaceOfEarlierOnes() {
    Leader leader = new Leader(new Revision(1));
    leader.state.tick(new Moment(0));
    answer(leader, new Answer.Page(List.of(), false, new Revision(1)));
    long first = leader.record.want(List.of(new Row(1, 0, 1)));
    leader.state.tick(new Moment(1000));
    leader.state.tick(new Moment(2000));
    leader.record.want(List.of(new Row(2, 0, 1)));
    long last = leader.record.want(List.of(new Row(3, 0, 1)));
    answer(leader, new Answer.Committed(new Revision(2)));
    assertThat(leader.record.revision()).isEqualTo(first);
    leader.state.tick(new Moment(3000));
    answer(leader, new Answer.Committed(new Revision(3)));
    assertThat(leader.record.revision()).isEqualTo(last);
    assertThat(leader.record.stored()).containsExactly(new Row(3, 0, 1));
    assertThat(leader.record.want(List.of(new Row(3, 0, 1)))).as("no change").isEqualTo(last);
    assertThat(leader.record.settled()).isTrue();
  }

  /** What can't be read is left as it is, and stops nothing else. */
  @Test
  void aDamagedRecordIsBrokenAlone() {
    Leader leader = new Leader(new Revision(1));
    SharedRecord<Row> other = leader.state.record("sound", Row.class);
    leader.state.tick(new Moment(0));
    Entry damaged =
        new Entry(Keys.sharedHead("rows"), new StoredValue.Unreadable("form 9"), new Revision(1));
    answer(leader, new Answer.Page(List.of(damaged), false, new Revision(1)));
    assertThat(leader.record.broken()).isTrue();
    leader.record.want(List.of(new Row(1, 0, 1)));
    leader.state.tick(new Moment(1000));
    leader.state.tick(new Moment(2000));
    assertThat(leader.outbox.takeEffects()).isEmpty();
    other.want(List.of(new Row(1, 0, 1)));
    leader.state.tick(new Moment(3000));
    answer(leader, new Answer.Committed(new Revision(2)));
    assertThat(other.settled()).isTrue();
  }

  private static void answer(Leader leader, Answer answer) {
    List<Effect> effects = leader.outbox.takeEffects();
    assertThat(effects).hasSize(1);
    leader.outbox.deliverAnswer(((Effect.Call) effects.get(0)).call(), answer);
  }
}
