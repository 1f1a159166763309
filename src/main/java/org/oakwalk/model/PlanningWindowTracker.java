package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.planner.DeadlinePlanner;
import org.oakwalk.core.planner.GroupKey;
import org.oakwalk.core.planner.PlanRow;
import org.oakwalk.core.planner.PlanningWindow;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Compares what the stored plan promised for each batch deadline with the work that was done by
 * then.
 */
final class PlanningWindowTracker {
  /** Work of one group of jobs in a planning window. */
  private static final class GroupResult {
    int tasks;
    int doneTasks;
    int promisedTasks;
    double workSeconds;
    double doneWorkSeconds;
  }

  /** Result of one planning window. Shares are between 0 and 1. */
  record WindowResult(
      double workDoneShare,
      double promiseKeptShare,
      int revisions,
      double plannedShare,
      Map<GroupKey, GroupResult> groups) {}

  private final World world;
  private final List<BatchDeadlineTerms> deadlines;
  private final Map<String, Map<JobId, Integer>> doneAtOpening = new HashMap<>();
  private final Map<String, List<WindowResult>> results = new TreeMap<>();
  private final Map<String, PlanRow.GroupRow> lastPlanned = new HashMap<>();
  private long revision = -1;

  PlanningWindowTracker(World world, List<BatchDeadlineTerms> deadlines) {
    this.world = world;
    this.deadlines = deadlines;
  }

  /**
   * Schedules a check at the opening and at the deadline of each planning window that closes before
   * the end of the scenario.
   */
  void scheduleChecks(double end) {
    for (BatchDeadlineTerms deadline : deadlines) {
      Optional<PlanningWindow> window =
          PlanningWindow.next(deadline, world.wallClock(), world.settings.maxClockError());
      while (window.isPresent() && seconds(window.get().deadline()) <= end) {
        PlanningWindow current = window.get();
        world.time.at(Math.max(0, seconds(current.opensAt())), () -> windowOpens(deadline));
        world.time.at(seconds(current.deadline()) - 0.001, () -> windowEnds(deadline, current));
        WallTime next = new WallTime(current.deadline().millis() + 1);
        window = PlanningWindow.next(deadline, next, world.settings.maxClockError());
      }
    }
  }

  private double seconds(WallTime time) {
    return world.time.seconds() + time.since(world.wallClock()).asSeconds();
  }

  /** Returns the time until the earliest deadline that covers a job, if there is one. */
  Optional<TimeSpan> timeToDeadline(JobSpec spec) {
    return deadlines.stream()
        .filter(deadline -> deadline.covers(spec))
        .flatMap(
            deadline ->
                PlanningWindow.next(deadline, world.wallClock(), world.settings.maxClockError())
                    .stream())
        .map(window -> window.finishBy().since(world.wallClock()))
        .filter(left -> left.millis() > 0)
        .min(TimeSpan::compareTo);
  }

  private int doneTaskCount(JobSpec spec) {
    int done = 0;
    for (int i = 0; i < spec.tasks(); i++) {
      done += world.invariants.isCompleted(new TaskId(spec.id(), i)) ? 1 : 0;
    }
    return done;
  }

  private void windowOpens(BatchDeadlineTerms deadline) {
    Map<JobId, Integer> counts = new HashMap<>();
    for (JobSpec spec : world.specs.values()) {
      if (deadline.covers(spec)) {
        counts.put(spec.id(), doneTaskCount(spec));
      }
    }
    doneAtOpening.put(deadline.name(), counts);
  }

  private void windowEnds(BatchDeadlineTerms deadline, PlanningWindow window) {
    Map<GroupKey, GroupResult> groups =
        new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
    Map<JobId, Integer> doneEarlier = doneAtOpening.getOrDefault(deadline.name(), Map.of());
    for (JobSpec spec : world.specs.values()) {
      if (!deadline.covers(spec)
          || world.invariants.isCancelRequested(spec.id())
          || world.failingJobs.contains(spec.id())) {
        continue;
      }
      int doneBefore = doneEarlier.getOrDefault(spec.id(), 0);
      GroupResult group = groups.computeIfAbsent(GroupKey.of(spec), key -> new GroupResult());
      int done = doneTaskCount(spec) - doneBefore;
      group.tasks += spec.tasks() - doneBefore;
      group.doneTasks += done;
      double run = world.runSeconds(new TaskId(spec.id(), 0));
      group.workSeconds += run * (spec.tasks() - doneBefore);
      group.doneWorkSeconds += run * done;
    }
    groups.values().removeIf(group -> group.tasks == 0);
    int revisions = 0;
    double share = 1;
    for (PlanRow row : storedPlan()) {
      if (row instanceof PlanRow.WindowRow stored
          && stored.dawnName().equals(deadline.name())
          && stored.deadline().equals(window.deadline())) {
        revisions = stored.revisionCount();
        share = stored.share();
      }
    }
    if (revisions > 0) {
      for (PlanRow row : storedPlan()) {
        if (row instanceof PlanRow.GroupRow planned
            && planned.dawnName().equals(deadline.name())
            && groups.containsKey(planned.key())) {
          groups.get(planned.key()).promisedTasks = planned.promisedTasks();
        }
      }
    }
    double work = groups.values().stream().mapToDouble(group -> group.workSeconds).sum();
    double workDone = groups.values().stream().mapToDouble(group -> group.doneWorkSeconds).sum();
    double promised = groups.values().stream().mapToDouble(group -> group.promisedTasks).sum();
    double kept =
        groups.values().stream().mapToDouble(g -> Math.min(g.doneTasks, g.promisedTasks)).sum();
    results
        .computeIfAbsent(deadline.name(), name -> new ArrayList<>())
        .add(
            new WindowResult(
                work <= 0 ? 1 : workDone / work,
                promised <= 0 ? 1 : kept / promised,
                revisions,
                share,
                groups));
  }

  /** Returns the rows of the stored plan. */
  private List<PlanRow> storedPlan() {
    List<SharedRow> rows = new ArrayList<>();
    if (world.state.value(StoreKeys.sharedHead(DeadlinePlanner.RECORD_NAME)).orElse(null)
        instanceof StoredValue.SharedHead head) {
      rows.addAll(head.rows());
      for (int i = 0; i < head.partCount(); i++) {
        if (world
                .state
                .value(StoreKeys.sharedPart(DeadlinePlanner.RECORD_NAME, head.slot(), i))
                .orElse(null)
            instanceof StoredValue.SharedPart part) {
          rows.addAll(part.rows());
        }
      }
    }
    return rows.stream().filter(PlanRow.class::isInstance).map(PlanRow.class::cast).toList();
  }

  /**
   * Checks a newly stored plan against the last one, and returns a description of a promise that
   * was reduced. Called periodically.
   */
  Optional<String> checkPromises() {
    if (deadlines.isEmpty()
        || !(world.state.value(StoreKeys.sharedHead(DeadlinePlanner.RECORD_NAME)).orElse(null)
            instanceof StoredValue.SharedHead head)
        || head.revision() == revision) {
      return Optional.empty();
    }
    revision = head.revision();
    List<PlanRow> rows = storedPlan();
    Map<String, WallTime> deadlineAt = new HashMap<>();
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.WindowRow stored) {
        deadlineAt.put(stored.dawnName(), stored.deadline());
      }
    }
    Optional<String> violation = Optional.empty();
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.GroupRow group && deadlineAt.containsKey(group.dawnName())) {
        String name = group.dawnName() + deadlineAt.get(group.dawnName()) + group.key();
        PlanRow.GroupRow previous = lastPlanned.put(name, group);
        if (previous != null
            && group.promisedTasks() < previous.promisedTasks()
            && group.acceptedTasks() >= previous.acceptedTasks()) {
          violation =
              Optional.of(
                  group.key()
                      + " was promised "
                      + previous.promisedTasks()
                      + " tasks and now "
                      + group.promisedTasks());
        }
        if (previous != null && group.startBy().millis() > previous.startBy().millis()) {
          violation = Optional.of(group.key() + " had an earlier latest start before");
        }
      }
    }
    return violation;
  }

  /** Returns the result of the last closed window of a deadline. */
  Optional<WindowResult> lastResult(String deadline) {
    List<WindowResult> all = results.getOrDefault(deadline, List.of());
    return all.isEmpty() ? Optional.empty() : Optional.of(all.get(all.size() - 1));
  }

  /** Returns the metrics of all closed windows that had work, by name. */
  Map<String, Double> metrics() {
    Map<String, Double> metrics = new LinkedHashMap<>();
    results.forEach(
        (name, all) -> {
          for (int i = 0; i < all.size(); i++) {
            if (all.get(i).groups().isEmpty()) {
              continue;
            }
            String prefix = "dawn." + name + "." + (i + 1);
            metrics.put(prefix + ".work_done", all.get(i).workDoneShare());
            metrics.put(prefix + ".promise_kept", all.get(i).promiseKeptShare());
            metrics.put(prefix + ".share", all.get(i).plannedShare());
            metrics.put(prefix + ".revisions", (double) all.get(i).revisions());
          }
        });
    return metrics;
  }

  /** Returns promised and completed tasks, one line for each group of each window. */
  List<String> report() {
    List<String> lines = new ArrayList<>();
    results.forEach(
        (name, all) -> {
          for (int i = 0; i < all.size(); i++) {
            for (Map.Entry<GroupKey, GroupResult> entry : all.get(i).groups().entrySet()) {
              GroupResult group = entry.getValue();
              lines.add(
                  String.format(
                      Locale.ROOT,
                      "dawn %s, night %d, %s: promised %d, done %d of %d tasks",
                      name,
                      i + 1,
                      entry.getKey(),
                      group.promisedTasks,
                      group.doneTasks,
                      group.tasks));
            }
          }
        });
    return lines;
  }
}
