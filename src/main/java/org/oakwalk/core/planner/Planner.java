package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.placement.PlannedDeadlines;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans the work of the nights: in which order its groups go, so that all is done by dawn, or in
 * equal shares if that can't be. What is stored of it counts, and nothing else; it speaks to the
 * queue through the deadlines of jobs alone.
 */
public final class Planner implements PlannedDeadlines {
  private static final Logger LOG = LoggerFactory.getLogger(Planner.class);

  /** Name of its record. */
  public static final String RECORD = "dawn";

  private static final Span OBSERVE_EVERY = Span.seconds(5);
  private static final Span SHORTEST_LOOK = Span.seconds(2);
  private static final Span LONGEST_LOOK = Span.seconds(30);
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Settings settings;
  private final Span floor;
  private final NightWork work;
  private final Learned learned = new Learned();
  private final Map<GroupKey, Integer> earlier = new HashMap<>();
  private final Set<Job> moved = new LinkedHashSet<>();
  private final Map<String, WallTime> toldEnded = new HashMap<>();
  private Groups groups = new Groups();
  private List<BatchDeadlineTerms> dawns = List.of();
  private Map<String, Window> open = Map.of();
  private PlanInForce inForce = PlanInForce.NONE;
  private boolean restored;
  private long revision = -1;
  private long wanted;
  private boolean doubted;
  private Moment rose;
  private Moment nextLook = new Moment(Long.MIN_VALUE / 2);
  private Moment nextObservation = new Moment(Long.MIN_VALUE / 2);
  private WallTime wall = new WallTime(0);

  /**
   * A planner without terms.
   *
   * @param floor the least time that a deadline's distance counts in the score
   * @param kept what room is kept for beside the open jobs
   */
  public Planner(
      Fleet fleet, JobRegistry jobs, Settings settings, Span floor, Supplier<List<JobSpec>> kept) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.settings = settings;
    this.floor = floor;
    this.work = new NightWork(settings, learned, kept);
  }

  /** Follows the nights that are declared; nothing is planned before it is known what runs. */
  public void tick(
      List<BatchDeadlineTerms> terms,
      SharedRecord<PlanRow> record,
      Map<String, MachineType> types,
      boolean recovered,
      Moment now,
      WallTime dayTime) {
    wall = dayTime;
    if (!terms.equals(dawns)) {
      follow(terms);
    }
    if (dawns.isEmpty() || !record.isLoaded() || record.isUnusable()) {
      off();
      return;
    }
    if (!windows().equals(open)) {
      open = windows();
      groups.all().forEach(this::apply);
    }
    if (!restored) {
      restore(record.storedRows());
      rose = now;
    }
    if (record.revision() != revision) {
      revision = record.revision();
      adopt(new PlanInForce(record.storedRows()));
    }
    if (!nextObservation.isAfter(now)) {
      nextObservation = now.plus(OBSERVE_EVERY);
      learned.room.observe(fleet.machines(), now);
      groups.all().forEach(this::apply);
    }
    if (recovered) {
      settle(record);
      if (!nextLook.isAfter(now) && !open.isEmpty() && !types.isEmpty()) {
        look(record, types, now);
      }
    }
  }

  /** Nothing is planned any more, and nothing that was planned counts. */
  public void off() {
    if (!open.isEmpty() || inForce != PlanInForce.NONE) {
      open = Map.of();
      adopt(PlanInForce.NONE);
    }
  }

  /** Takes over what counts for a group at present. */
  private void apply(Groups.Group group) {
    Optional<BatchDeadlineTerms> dawn = dawnOf(group.sample);
    group.entry = entry(group.sample).orElse(null);
    group.ends = dawn.map(terms -> open.get(terms.name()).ends()).orElse(null);
    String name = group.sample.jobClass();
    group.strays =
        dawn.map(
                terms ->
                    learned.runs.quantile(name, terms.runTimeQuantile()) - learned.runs.mean(name))
            .orElse(0.0);
  }

  private Map<String, Window> windows() {
    Map<String, Window> found = new LinkedHashMap<>();
    for (BatchDeadlineTerms dawn : dawns) {
      Window.open(dawn, wall, settings.maxClockError())
          .ifPresent(window -> found.put(dawn.name(), window));
    }
    return found;
  }

  /** Takes up other terms: what they cover is counted anew. */
  private void follow(List<BatchDeadlineTerms> terms) {
    dawns = List.copyOf(terms);
    groups = new Groups();
    learned.follow(dawns);
    jobs.all().forEach(job -> groups.touched(job, covered(job.spec())));
    jobs.setChangeListener(this::touched);
    moved.addAll(jobs.all());
  }

  private boolean covered(JobSpec spec) {
    return dawns.stream().anyMatch(dawn -> dawn.covers(spec));
  }

  private void touched(Job job) {
    learned.touched(job, wall);
    Groups.Group group = groups.touched(job, covered(job.spec()));
    if (group != null) {
      if (group.jobs.size() == 1) {
        apply(group);
      }
      if (group.entry != null
          && group.entry.shared()
          && beyond(group.entry, group) != group.beyond) {
        group.beyond = !group.beyond;
        moved.addAll(group.jobs);
      }
    }
  }

  /** A task of a job has completed after running this long. */
  public void completed(Job job, Span ran) {
    if (!dawns.isEmpty() && covered(job.spec())) {
      learned.completed(job, ran);
    }
  }

  /** Takes over what earlier leaders learned and planned. */
  private void restore(List<PlanRow> rows) {
    restored = true;
    learned.restore(rows);
    PlanInForce found = new PlanInForce(rows);
    for (PlanInForce.Entry entry : found.all()) {
      Groups.Group group = groups.find(entry.group().key());
      int counted = group == null ? 0 : Groups.acceptedBy(group, entry.night().revised());
      earlier.put(entry.group().key(), Math.max(0, entry.group().seen() - counted));
    }
    for (BatchDeadlineTerms dawn : dawns) {
      found
          .night(dawn.name())
          .filter(night -> night.dawnAt().millis() > wall.millis())
          .ifPresent(
              night ->
                  LOG.info(
                      "dawn {}: goes on with the plan of an earlier leader, revision {} of the window, share {}",
                      dawn.name(),
                      night.revisions(),
                      night.share()));
    }
  }

  private void adopt(PlanInForce next) {
    PlanInForce before = inForce;
    inForce = next;
    for (Groups.Group group : groups.all()) {
      Optional<PlanInForce.Entry> was = before.find(group.key);
      apply(group);
      Optional<PlanInForce.Entry> is = Optional.ofNullable(group.entry);
      boolean beyond = is.isPresent() && beyond(is.get(), group);
      if (was.isPresent() != is.isPresent()
          || beyond != group.beyond
          || is.isPresent() && was.isPresent() && hasMoved(was.get(), is.get())) {
        moved.addAll(group.jobs);
      }
      group.beyond = beyond;
    }
  }

  private boolean hasMoved(PlanInForce.Entry was, PlanInForce.Entry is) {
    double left = Math.max(1, is.group().startBy().since(wall).millis());
    double by = Math.abs(is.group().startBy().since(was.group().startBy()).millis());
    return by > Review.NOTABLE * left || Math.abs(is.rank() - was.rank()) > Review.NOTABLE;
  }

  /** Says what came of nights that are over, and stores what was learned in them. */
  private void settle(SharedRecord<PlanRow> record) {
    for (BatchDeadlineTerms dawn : dawns) {
      Optional<PlanRow.Night> night = inForce.night(dawn.name());
      if (night.isEmpty()
          || night.get().dawnAt().millis() > wall.millis()
          || night.get().dawnAt().equals(toldEnded.put(dawn.name(), night.get().dawnAt()))) {
        continue;
      }
      int late = 0;
      for (PlanInForce.Entry entry : inForce.all()) {
        Groups.Group group = groups.find(entry.group().key());
        if (group != null && entry.group().dawn().equals(dawn.name())) {
          late += group.open;
          moved.addAll(group.jobs);
        }
      }
      LOG.info(
          "dawn {} is over after {} revisions: {} tasks are late and go on",
          dawn.name(),
          night.get().revisions(),
          late);
      wanted = record.requestWrite(rows(Map.of()));
    }
  }

  private void look(SharedRecord<PlanRow> record, Map<String, MachineType> types, Moment now) {
    Span shortest = open.values().stream().map(Window::length).min(Span::compareTo).orElseThrow();
    nextLook = now.plus(Review.within(shortest.times(0.01), SHORTEST_LOOK, LONGEST_LOOK));
    if (record.revision() < wanted) {
      return;
    }
    for (BatchDeadlineTerms dawn : dawns) {
      Window window = open.get(dawn.name());
      if (window != null && inForce.night(dawn.name(), window).isEmpty()) {
        begin(dawn);
      }
    }
    groups.sweep(inForce.keys(wall));
    Optional<Draft> made = work.draft(night(), fleet, types, now, wall);
    if (made.isEmpty()) {
      return;
    }
    Draft draft = made.get();
    boolean first = open.keySet().stream().anyMatch(d -> inForce.night(d, open.get(d)).isEmpty());
    if (first && draft.lines().isEmpty()) {
      return;
    }
    boolean infeasible = draft.shared();
    if (infeasible && !doubted && (!first || young(shortest, types, now))) {
      // What one look shows may be a machine that is about to come, or an answer that is late.
      doubted = !first;
      if (!alreadyShared()) {
        return;
      }
    }
    doubted = infeasible;
    revise(record, draft);
  }

  private boolean alreadyShared() {
    return open.entrySet().stream()
        .anyMatch(
            e -> inForce.night(e.getKey(), e.getValue()).filter(n -> n.share() < 1).isPresent());
  }

  /** Whether what is asked for at the beginning of a window can't have come yet. */
  private boolean young(Span shortest, Map<String, MachineType> types, Moment now) {
    Span boot =
        types.values().stream()
            .map(MachineType::bootTime)
            .max(Span::compareTo)
            .orElse(Span.seconds(0));
    Span since =
        open.values().stream()
            .map(window -> wall.since(window.opens()))
            .min(Span::compareTo)
            .orElseThrow();
    Span here = now.since(rose);
    Span wait = Review.within(boot.times(2.5), Span.seconds(0), shortest.times(0.1));
    return (since.compareTo(here) < 0 ? since : here).compareTo(wait) < 0;
  }

  private void begin(BatchDeadlineTerms dawn) {
    for (Groups.Group group : groups.all()) {
      if (dawnOf(group.sample).filter(dawn::equals).isPresent()
          && inForce
              .find(group.key)
              .filter(e -> e.night().dawnAt().millis() > wall.millis())
              .isEmpty()) {
        groups.begin(group);
        earlier.remove(group.key);
      }
    }
  }

  private void revise(SharedRecord<PlanRow> record, Draft draft) {
    Optional<String> reason = Review.revise(draft, inForce, open, wall);
    if (reason.isEmpty()) {
      return;
    }
    Map<String, List<PlanRow>> fresh = draft.rows(open, inForce, wall);
    wanted = record.requestWrite(rows(fresh));
    LOG.info("dawn plan revised ({}): {}", reason.get(), draft.summary());
    fresh.values().stream()
        .flatMap(List::stream)
        .filter(PlanRow.Group.class::isInstance)
        .map(PlanRow.Group.class::cast)
        .forEach(
            group ->
                LOG.debug(
                    "dawn {}: {} has {} of {} promised, starts in {}, ends in {}",
                    group.dawn(),
                    group.key(),
                    group.promised(),
                    group.seen(),
                    group.startBy().since(wall),
                    group.endBy().since(wall)));
    if (draft.shared()) {
      LOG.warn("{}", draft.warning());
    }
  }

  /** All rows: fresh ones of some dawns, of the others what is in force, and what was learned. */
  private List<PlanRow> rows(Map<String, List<PlanRow>> fresh) {
    List<PlanRow> rows = new ArrayList<>();
    for (BatchDeadlineTerms dawn : dawns) {
      rows.addAll(
          fresh.containsKey(dawn.name()) ? fresh.get(dawn.name()) : inForce.rows(dawn.name()));
    }
    rows.addAll(learned.rows());
    return rows;
  }

  private NightWork.Night night() {
    return new NightWork.Night(groups, dawns, open, learned, inForce, earlier);
  }

  private Optional<BatchDeadlineTerms> dawnOf(JobSpec spec) {
    return night().dawnOf(spec);
  }

  private Optional<PlanInForce.Entry> entry(JobSpec spec) {
    return inForce
        .find(GroupKey.of(spec))
        .or(() -> inForce.find(GroupKey.OTHERS))
        .filter(entry -> entry.night().dawnAt().millis() > wall.millis())
        .filter(
            entry ->
                dawns.stream()
                    .anyMatch(
                        dawn -> dawn.name().equals(entry.group().dawn()) && dawn.covers(spec)));
  }

  private boolean beyond(PlanInForce.Entry entry, Groups.Group group) {
    int served = earlier.getOrDefault(group.key, 0) + group.served();
    return entry.shared()
        && !entry.group().key().equals(GroupKey.OTHERS)
        && served >= entry.group().promised();
  }

  @Override
  public Optional<TimeLeft> timeToStart(Job job, WallTime now) {
    Groups.Group group = dawns.isEmpty() ? null : groups.of(job);
    // What is beyond a group's share goes as if there were no plan.
    if (group == null
        || group.entry == null
        || group.beyond
        || group.entry.night().dawnAt().millis() <= now.millis()) {
      return Optional.empty();
    }
    Span least = floor.times(1 + group.entry.rank());
    Span left = group.entry.group().startBy().since(now);
    // Where there is too little time for all, none is left to wait for a turn.
    boolean due = group.entry.shared() || left.compareTo(least) <= 0;
    return Optional.of(due ? new TimeLeft(least, true) : new TimeLeft(left, false));
  }

  @Override
  public Optional<Span> timeToEnd(Job job, WallTime now) {
    Groups.Group group = open.isEmpty() ? null : groups.of(job);
    if (group == null || group.ends == null) {
      return Optional.empty();
    }
    return Optional.of(
            group.ends.since(now).minus(job.spec().estimatedRunTime().times(group.strays)))
        .filter(left -> left.millis() > 0);
  }

  @Override
  public List<Job> takeChangedJobs() {
    if (moved.isEmpty()) {
      return List.of();
    }
    List<Job> taken = List.copyOf(moved);
    moved.clear();
    return taken;
  }
}
