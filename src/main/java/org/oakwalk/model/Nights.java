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
final class Nights {
  /** A group's work of one night. */
  private static final class Group {
    int tasks;
    int done;
    int promised;
    double seconds;
    double secondsDone;
  }

  /** One night, as it turned out. */
  record Night(
      double work, double kept, int revisions, double share, Map<GroupKey, Group> groups) {}

  private final World world;
  private final List<DawnTerms> dawns;
  private final Map<String, Map<JobId, Integer>> before = new HashMap<>();
  private final Map<String, List<Night>> nights = new TreeMap<>();
  private final Map<String, PlanRow.Group> last = new HashMap<>();
  private long revision = -1;

  Nights(World world, List<DawnTerms> dawns) {
    this.world = world;
    this.dawns = dawns;
  }

  /** Sets out to look at each dawn that comes before the scenario is over. */
  void begin(double end) {
    for (DawnTerms dawn : dawns) {
      Optional<Window> window = Window.next(dawn, world.wallClock(), world.settings.clockOff());
      while (window.isPresent() && seconds(window.get().dawn()) <= end) {
        Window night = window.get();
        world.time.at(Math.max(0, seconds(night.opens())), () -> opens(dawn));
        world.time.at(seconds(night.dawn()) - 0.001, () -> ends(dawn, night));
        WallTime next = new WallTime(night.dawn().millis() + 1);
        window = Window.next(dawn, next, world.settings.clockOff());
      }
    }
  }

  private double seconds(WallTime time) {
    return world.time.seconds() + time.since(world.wallClock()).asSeconds();
  }

  /** By when a job would have to be done if each were due at its dawn. */
  Optional<Span> due(JobSpec spec) {
    return dawns.stream()
        .filter(dawn -> dawn.covers(spec))
        .flatMap(dawn -> Window.next(dawn, world.wallClock(), world.settings.clockOff()).stream())
        .map(window -> window.ends().since(world.wallClock()))
        .filter(left -> left.millis() > 0)
        .min(Span::compareTo);
  }

  private int done(JobSpec spec) {
    int done = 0;
    for (int i = 0; i < spec.tasks(); i++) {
      done += world.invariants.hasCompleted(new TaskId(spec.id(), i)) ? 1 : 0;
    }
    return done;
  }

  private void opens(DawnTerms dawn) {
    Map<JobId, Integer> counts = new HashMap<>();
    for (JobSpec spec : world.specs.values()) {
      if (dawn.covers(spec)) {
        counts.put(spec.id(), done(spec));
      }
    }
    before.put(dawn.name(), counts);
  }

  private void ends(DawnTerms dawn, Window window) {
    Map<GroupKey, Group> groups = new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
    Map<JobId, Integer> earlier = before.getOrDefault(dawn.name(), Map.of());
    for (JobSpec spec : world.specs.values()) {
      if (!dawn.covers(spec)
          || world.invariants.asked(spec.id())
          || world.failingJobs.contains(spec.id())) {
        continue;
      }
      int begun = earlier.getOrDefault(spec.id(), 0);
      Group group = groups.computeIfAbsent(GroupKey.of(spec), key -> new Group());
      int done = done(spec) - begun;
      group.tasks += spec.tasks() - begun;
      group.done += done;
      double run = world.runSeconds(new TaskId(spec.id(), 0));
      group.seconds += run * (spec.tasks() - begun);
      group.secondsDone += run * done;
    }
    groups.values().removeIf(group -> group.tasks == 0);
    int revisions = 0;
    double share = 1;
    for (PlanRow row : stored()) {
      if (row instanceof PlanRow.Night night
          && night.dawn().equals(dawn.name())
          && night.dawnAt().equals(window.dawn())) {
        revisions = night.revisions();
        share = night.share();
      }
    }
    if (revisions > 0) {
      for (PlanRow row : stored()) {
        if (row instanceof PlanRow.Group planned
            && planned.dawn().equals(dawn.name())
            && groups.containsKey(planned.key())) {
          groups.get(planned.key()).promised = planned.promised();
        }
      }
    }
    double work = groups.values().stream().mapToDouble(group -> group.seconds).sum();
    double workDone = groups.values().stream().mapToDouble(group -> group.secondsDone).sum();
    double promised = groups.values().stream().mapToDouble(group -> group.promised).sum();
    double kept = groups.values().stream().mapToDouble(g -> Math.min(g.done, g.promised)).sum();
    nights
        .computeIfAbsent(dawn.name(), name -> new ArrayList<>())
        .add(
            new Night(
                work <= 0 ? 1 : workDone / work,
                promised <= 0 ? 1 : kept / promised,
                revisions,
                share,
                groups));
  }

  private List<PlanRow> stored() {
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
  Optional<String> tick() {
    if (dawns.isEmpty()
        || !(world.state.value(StoreKeys.sharedHead(Planner.RECORD)).orElse(null)
            instanceof StoredValue.SharedHead head)
        || head.revision() == revision) {
      return Optional.empty();
    }
    revision = head.revision();
    List<PlanRow> rows = stored();
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
        PlanRow.Group old = last.put(name, group);
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
  Optional<Night> last(String dawn) {
    List<Night> all = nights.getOrDefault(dawn, List.of());
    return all.isEmpty() ? Optional.empty() : Optional.of(all.get(all.size() - 1));
  }

  Map<String, Double> figures() {
    Map<String, Double> figures = new LinkedHashMap<>();
    nights.forEach(
        (name, all) -> {
          for (int i = 0; i < all.size(); i++) {
            if (all.get(i).groups().isEmpty()) {
              continue;
            }
            String night = "dawn." + name + "." + (i + 1);
            figures.put(night + ".work_done", all.get(i).work());
            figures.put(night + ".promise_kept", all.get(i).kept());
            figures.put(night + ".share", all.get(i).share());
            figures.put(night + ".revisions", (double) all.get(i).revisions());
          }
        });
    return figures;
  }

  /** Promised against done by group, a line each. */
  List<String> table() {
    List<String> lines = new ArrayList<>();
    nights.forEach(
        (name, all) -> {
          for (int i = 0; i < all.size(); i++) {
            for (Map.Entry<GroupKey, Group> entry : all.get(i).groups().entrySet()) {
              Group group = entry.getValue();
              lines.add(
                  String.format(
                      Locale.ROOT,
                      "dawn %s, night %d, %s: promised %d, done %d of %d tasks",
                      name,
                      i + 1,
                      entry.getKey(),
                      group.promised,
                      group.done,
                      group.tasks));
            }
          }
        });
    return lines;
  }
}
