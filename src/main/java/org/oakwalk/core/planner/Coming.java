package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.product.BatchDeadlineTerms;

/**
 * What work comes, by team, class and part of the time between two dawns. What was learned fades by
 * half from one dawn to the next; where nothing was seen, nothing is expected.
 */
final class Coming {
  private static final int MOST = 64;
  private static final double KEEP = 0.5;
  private static final int MOST_ROLLED = 20 * Window.SLICES;

  record Source(String team, String jobClass) {}

  /** Work that is expected: so many tasks a slice from this one on. */
  record Expected(Source source, Resources room, double run, Map<Integer, Double> tasksBySlice) {}

  private static final class Account {
    final long[] bySlice = new long[Window.SLICES];
    long slice = -1;
    long sum;
    double run;
    Resources room = Resources.NONE;

    Account() {
      java.util.Arrays.fill(bySlice, -1);
    }

    /** Closes the parts of the time that are over. */
    void roll(BatchDeadlineTerms terms, WallTime time) {
      long length = Window.sliceLength(terms).millis();
      long now = Math.floorDiv(time.millis(), length);
      if (slice < 0) {
        slice = now;
      }
      // After as long as this nothing is left of what was learned anyhow.
      slice = Math.max(slice, now - MOST_ROLLED);
      while (slice < now) {
        int index = Window.slice(terms, new WallTime(slice * length));
        long known = bySlice[index];
        bySlice[index] = known < 0 ? sum : Math.round(KEEP * known + (1 - KEEP) * sum);
        sum = 0;
        slice++;
      }
    }
  }

  private final String dawn;
  private final Map<Source, Account> accounts =
      new TreeMap<>(java.util.Comparator.comparing(Source::team).thenComparing(Source::jobClass));

  Coming(String dawn) {
    this.dawn = dawn;
  }

  /** A job that has just been accepted. */
  void came(JobSpec spec, BatchDeadlineTerms terms, WallTime now) {
    Source source = new Source(spec.team(), spec.jobClass());
    if (!accounts.containsKey(source) && accounts.size() >= MOST) {
      return;
    }
    Account account = accounts.computeIfAbsent(source, key -> new Account());
    account.roll(terms, now);
    double run = spec.estimatedRunTime().asSeconds();
    account.sum += Math.round(run * spec.tasks());
    account.run += (account.run == 0 ? 1 : 0.1) * (run - account.run);
    account.room = spec.resources();
  }

  /** What is still to come in the parts of the time that lie ahead, this one's rest included. */
  List<Expected> expected(BatchDeadlineTerms terms, WallTime now, WallTime until) {
    List<Expected> all = new ArrayList<>();
    long length = Window.sliceLength(terms).millis();
    int ahead = (int) Math.min(Window.SLICES - 1, (until.millis() - now.millis()) / length);
    accounts.forEach(
        (source, account) -> {
          account.roll(terms, now);
          Map<Integer, Double> tasks = new TreeMap<>();
          for (int i = 0; i <= ahead; i++) {
            WallTime then = new WallTime((account.slice + i) * length);
            double known = account.bySlice[Window.slice(terms, then)];
            double rest = i == 0 ? known - account.sum : known;
            if (rest > 0 && account.run > 0) {
              tasks.put(i, rest / account.run);
            }
          }
          if (!tasks.isEmpty()) {
            all.add(new Expected(source, account.room, account.run, tasks));
          }
        });
    return all;
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    accounts.forEach(
        (source, account) ->
            rows.add(
                new PlanRow.Coming(
                    dawn,
                    source.team(),
                    source.jobClass(),
                    account.slice,
                    account.sum,
                    account.run,
                    account.room,
                    java.util.Arrays.stream(account.bySlice).boxed().toList())));
    return rows;
  }

  void restore(PlanRow.Coming row) {
    Account account = new Account();
    for (int i = 0; i < Math.min(Window.SLICES, row.bySlice().size()); i++) {
      account.bySlice[i] = row.bySlice().get(i);
    }
    account.slice = row.slice();
    account.sum = row.sum();
    account.run = row.run();
    account.room = row.room();
    accounts.put(new Source(row.team(), row.jobClass()), account);
  }
}
