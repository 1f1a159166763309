package org.oakwalk.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.FaultyStore;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/** Stops that were made stand in the store, also if an older ledger is stored late. */
class StopGrantsTest {
  private static final DisruptionBudget ONE =
      new DisruptionBudget("one", Optional.empty(), 5, Optional.of(40));
  private static final DisruptionBudget TWO =
      new DisruptionBudget("two", Optional.empty(), 5, Optional.of(40));
  private static final WallTime WALL = new WallTime(1_000_000_000);

  private FaultyStore store = new FaultyStore();
  private Outbox outbox;
  private long now;

  private Revision storedRevision() {
    return store.find(StoreKeys.RECENT_STOPS).map(Entry::revision).orElse(Revision.NONE);
  }

  private Optional<StoredValue.StopsRecord> record() {
    return store.find(StoreKeys.RECENT_STOPS).map(entry -> (StoredValue.StopsRecord) entry.value());
  }

  private StopGrants startTerm() {
    outbox = new Outbox();
    Revision token =
        store.put(StoreKeys.LEADER, new StoredValue.LeaderRecord(new NodeId("n"), "a", "life"));
    return new StopGrants(
        outbox, new Guard(StoreKeys.LEADER, token), record(), this::storedRevision);
  }

  private void tick(StopGrants ledger, FaultyStore.CommitOutcome fate) {
    now += 1100;
    ledger.tick(List.of(ONE, TWO), Map.of(), new Moment(now), WALL);
    store.serve(outbox, commit -> fate);
  }

  private int stored(DisruptionBudget budget) {
    return record()
        .map(record -> record.byBudget().get(budget.name()))
        .map(stops -> stops.grantedByInterval().values().stream().mapToInt(Integer::intValue).sum())
        .orElse(0);
  }

  @Test
  void delayedWriteDoesNotRevokeNewerGrants() {
    StopGrants ledger = startTerm();
    ledger.checkOrRequest(ONE, 1);
    tick(ledger, FaultyStore.CommitOutcome.DELAYED);
    ledger.checkOrRequest(TWO, 2);
    tick(ledger, FaultyStore.CommitOutcome.APPLIED);
    assertThat(ledger.checkOrRequest(TWO, 2)).isTrue();
    store.applyDelayed(0);
    assertThat(stored(TWO)).isGreaterThanOrEqualTo(2);
  }

  /** It goes on after a write of which the answer was lost. */
  @Test
  void grantsContinueAfterLostAnswer() {
    StopGrants ledger = startTerm();
    ledger.checkOrRequest(ONE, 1);
    tick(ledger, FaultyStore.CommitOutcome.ANSWER_LOST);
    for (int i = 0; i < 3; i++) {
      ledger.checkOrRequest(ONE, 1);
      tick(ledger, FaultyStore.CommitOutcome.APPLIED);
    }
    assertThat(ledger.checkOrRequest(ONE, 1)).isTrue();
  }

  /** No leader has made more stops than are stored, whatever is lost or late. */
  @Test
  void everyStopMadeIsStored() {
    for (long seed = 1; seed <= 200; seed++) {
      store = new FaultyStore();
      UniformRandomProvider chance = RandomSource.XO_SHI_RO_256_PP.create(seed);
      Map<DisruptionBudget, Integer> made = new HashMap<>(Map.of(ONE, 0, TWO, 0));
      StopGrants ledger = startTerm();
      for (int step = 0; step < 100; step++) {
        if (chance.nextInt(20) == 0) {
          ledger = startTerm();
        }
        DisruptionBudget budget = chance.nextBoolean() ? ONE : TWO;
        if (ledger.checkOrRequest(budget, 1)) {
          ledger.consume(budget);
          made.merge(budget, 1, Integer::sum);
        }
        FaultyStore.CommitOutcome[] fates = FaultyStore.CommitOutcome.values();
        tick(ledger, fates[chance.nextInt(fates.length)]);
        if (store.delayedCount() > 0 && chance.nextInt(3) == 0) {
          store.applyDelayed(chance.nextInt(store.delayedCount()));
        }
        made.forEach(
            (each, count) ->
                assertThat(stored(each))
                    .as("of %s, of which %d were made", each.name(), count)
                    .isGreaterThanOrEqualTo(count));
      }
    }
  }
}
