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
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.planner.GroupKey;
import org.oakwalk.core.planner.PlanRow;
import org.oakwalk.core.planner.Planner;
import org.oakwalk.core.planner.Window;
import org.oakwalk.core.product.DawnTerms;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/** What was promised for each dawn, by the stored plan, and what was done by then. */
final class PlanningWindowTracker {
  /** A group's work of one night. */
  private static final class GroupResult {
    int tasks;
    int doneTasks;
    int promisedTasks;
    double workSeconds;
    double doneWorkSeconds;
  }

  /** One night, as it turned out. */
  record WindowResult(
      double workDoneShare,
      double promiseKeptShare,
      int revisions,
      double plannedShare,
      Map<GroupKey, GroupResult> groups) {}

  private final World world;
  private final List<DawnTerms> deadlines;
  private final Map<String, Map<JobId, Integer>> doneAtOpening = new HashMap<>();
  private final Map<String, List<WindowResult>> results = new TreeMap<>();
  private final Map<String, PlanRow.Group> lastPlanned = new HashMap<>();
  private long revision = -1;

  PlanningWindowTracker(World world, List<DawnTerms> dawns) {
    this.world = world;
    this.deadlines = dawns;
  }

  /** Sets out to look at each dawn that comes before the scenario is over. */
  void scheduleChecks(double end) {
    for (DawnTerms dawn : deadlines) {
      Optional<Window> window = Window.next(dawn, world.wall(), world.settings.clockOff());
      while (window.isPresent() && seconds(window.get().dawn()) <= end) {
        Window night = window.get();
        world.time.at(Math.max(0, seconds(night.opens())), () -> windowOpens(dawn));
        world.time.at(seconds(night.dawn()) - 0.001, () -> windowEnds(dawn, night));
        WallTime next = new WallTime(night.dawn().millis() + 1);
        window = Window.next(dawn, next, world.settings.clockOff());
      }
    }
  }

  private double seconds(WallTime time) {
    return world.time.seconds() + time.since(world.wall()).asSeconds();
  }

  /** By when a job would have to be done if each were due at its dawn. */
  Optional<Span> timeToDeadline(JobSpec spec) {
    return deadlines.stream()
        .filter(dawn -> dawn.covers(spec))
        .flatMap(dawn -> Window.next(dawn, world.wall(), world.settings.clockOff()).stream())
        .map(window -> window.ends().since(world.wall()))
        .filter(left -> left.millis() > 0)
        .min(Span::compareTo);
  }

  private int doneTaskCount(JobSpec spec) {
    int done = 0;
    for (int i = 0; i < spec.tasks(); i++) {
      done += world.rules.hasCompleted(new TaskId(spec.id(), i)) ? 1 : 0;
    }
    return done;
  }

  private void windowOpens(DawnTerms dawn) {
    Map<JobId, Integer> counts = new HashMap<>();
    for (JobSpec spec : world.specs.values()) {
      if (dawn.covers(spec)) {
        counts.put(spec.id(), doneTaskCount(spec));
      }
    }
    doneAtOpening.put(dawn.name(), counts);
  }

  private void windowEnds(DawnTerms dawn, Window window) {
    Map<GroupKey, GroupResult> groups =
        new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
    Map<JobId, Integer> earlier = doneAtOpening.getOrDefault(dawn.name(), Map.of());
    for (JobSpec spec : world.specs.values()) {
      if (!dawn.covers(spec)
          || world.rules.isCancelRequested(spec.id())
          || world.failing.contains(spec.id())) {
        continue;
      }
      int begun = earlier.getOrDefault(spec.id(), 0);
      GroupResult group = groups.computeIfAbsent(GroupKey.of(spec), key -> new GroupResult());
      int done = doneTaskCount(spec) - begun;
      group.tasks += spec.tasks() - begun;
      group.doneTasks += done;
      double run = world.runSeconds(new TaskId(spec.id(), 0));
      group.workSeconds += run * (spec.tasks() - begun);
      group.doneWorkSeconds += run * done;
    }
    groups.values().removeIf(group -> group.tasks == 0);
    int revisions = 0;
    double share = 1;
    for (PlanRow row : storedPlan()) {
      if (row instanceof PlanRow.Night night
          && night.dawn().equals(dawn.name())
          && night.dawnAt().equals(window.dawn())) {
        revisions = night.revisions();
        share = night.share();
      }
    }
    if (revisions > 0) {
      for (PlanRow row : storedPlan()) {
        if (row instanceof PlanRow.Group planned
            && planned.dawn().equals(dawn.name())
            && groups.containsKey(planned.key())) {
          groups.get(planned.key()).promisedTasks = planned.promised();
        }
      }
    }
    double work = groups.values().stream().mapToDouble(group -> group.workSeconds).sum();
    double workDone = groups.values().stream().mapToDouble(group -> group.doneWorkSeconds).sum();
    double promised = groups.values().stream().mapToDouble(group -> group.promisedTasks).sum();
    double kept =
        groups.values().stream().mapToDouble(g -> Math.min(g.doneTasks, g.promisedTasks)).sum();
    results
        .computeIfAbsent(dawn.name(), name -> new ArrayList<>())
        .add(
            new WindowResult(
                work <= 0 ? 1 : workDone / work,
                promised <= 0 ? 1 : kept / promised,
                revisions,
                share,
                groups));
  }

  private List<PlanRow> storedPlan() {
    List<SharedRow> rows = new ArrayList<>();
    if (world.state.value(StoreKeys.sharedHead(Planner.RECORD)).orElse(null)
        instanceof StoredValue.SharedHead head) {
      rows.addAll(head.rows());
      for (int i = 0; i < head.partCount(); i++) {
        if (world.state.value(StoreKeys.sharedPart(Planner.RECORD, head.slot(), i)).orElse(null)
            instanceof StoredValue.SharedPart part) {
          rows.addAll(part.rows());
        }
      }
    }
    return rows.stream().filter(PlanRow.class::isInstance).map(PlanRow.class::cast).toList();
  }

  /** Looks whether a promise was taken back; to be called now and then. */
  Optional<String> checkPromises() {
    if (deadlines.isEmpty()
        || !(world.state.value(StoreKeys.sharedHead(Planner.RECORD)).orElse(null)
            instanceof StoredValue.SharedHead head)
        || head.revision() == revision) {
      return Optional.empty();
    }
    revision = head.revision();
    List<PlanRow> rows = storedPlan();
    Map<String, WallTime> dawnAt = new HashMap<>();
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.Night night) {
        dawnAt.put(night.dawn(), night.dawnAt());
      }
    }
    Optional<String> broken = Optional.empty();
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.Group group && dawnAt.containsKey(group.dawn())) {
        String name = group.dawn() + dawnAt.get(group.dawn()) + group.key();
        PlanRow.Group old = lastPlanned.put(name, group);
        if (old != null && group.promised() < old.promised() && group.seen() >= old.seen()) {
          broken =
              Optional.of(group.key() + " was " + old.promised() + " and is " + group.promised());
        }
        if (old != null && group.startBy().millis() > old.startBy().millis()) {
          broken = Optional.of(group.key() + " was to start earlier");
        }
      }
    }
    return broken;
  }

  /** The last night of a dawn that is over. */
  Optional<WindowResult> lastResult(String dawn) {
    List<WindowResult> all = results.getOrDefault(dawn, List.of());
    return all.isEmpty() ? Optional.empty() : Optional.of(all.get(all.size() - 1));
  }

  Map<String, Double> metrics() {
    Map<String, Double> figures = new LinkedHashMap<>();
    results.forEach(
        (name, all) -> {
          for (int i = 0; i < all.size(); i++) {
            if (all.get(i).groups().isEmpty()) {
              continue;
            }
            String night = "dawn." + name + "." + (i + 1);
            figures.put(night + ".work_done", all.get(i).workDoneShare());
            figures.put(night + ".promise_kept", all.get(i).promiseKeptShare());
            figures.put(night + ".share", all.get(i).plannedShare());
            figures.put(night + ".revisions", (double) all.get(i).revisions());
          }
        });
    return figures;
  }

  /** Promised against done by group, a line each. */
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
