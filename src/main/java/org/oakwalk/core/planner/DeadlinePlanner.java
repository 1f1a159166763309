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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
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
 * Plans batch work for recurring deadlines ("dawns"): orders the groups of jobs so that all work
 * completes by the deadline, or gives equal shares to all groups if it can't. Only the stored plan
 * takes effect, and it influences the queue only through the deadlines of jobs.
 */
public final class DeadlinePlanner implements PlannedDeadlines {
  private static final Logger LOG = LoggerFactory.getLogger(DeadlinePlanner.class);

  /** Name of the shared record that stores the plan. */
  public static final String RECORD_NAME = "dawn";

  private static final TimeSpan OBSERVE_INTERVAL = TimeSpan.seconds(5);
  private static final TimeSpan MIN_PLANNING_INTERVAL = TimeSpan.seconds(2);
  private static final TimeSpan MAX_PLANNING_INTERVAL = TimeSpan.seconds(30);
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Settings settings;
  private final TimeSpan minTimeLeft;
  private final DraftBuilder draftBuilder;
  private final PlanningStatistics statistics = new PlanningStatistics();

  /** By group, tasks of the window whose jobs ended before this leader's term. */
  private final Map<GroupKey, Integer> acceptedEarlier = new HashMap<>();

  /** Jobs whose deadline may have changed since the queue last took them. */
  private final Set<Job> changedJobs = new LinkedHashSet<>();

  /** By dawn, the last deadline whose outcome was logged. */
  private final Map<String, WallTime> reportedEnds = new HashMap<>();

  private JobGroups groups = new JobGroups();
  private List<BatchDeadlineTerms> dawns = List.of();
  private Map<String, PlanningWindow> openWindows = Map.of();
  private ActivePlan activePlan = ActivePlan.NONE;
  private boolean restored;
  private long recordRevision = -1;
  private long requestedRevision;
  private boolean infeasibleBefore;
  private MonotonicTime termStart;
  private MonotonicTime nextPlanning = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextObservation = new MonotonicTime(Long.MIN_VALUE / 2);
  private WallTime wallTime = new WallTime(0);

  /**
   * Creates a planner without any dawns.
   *
   * @param minTimeLeft lower bound of the time to a deadline in the job score
   * @param reservedFor work that room is reserved for in addition to the open jobs
   */
  public DeadlinePlanner(
      Fleet fleet,
      JobRegistry jobs,
      Settings settings,
      TimeSpan minTimeLeft,
      Supplier<List<JobSpec>> reservedFor) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.settings = settings;
    this.minTimeLeft = minTimeLeft;
    this.draftBuilder = new DraftBuilder(settings, statistics, reservedFor);
  }

  /**
   * Updates the plan for the configured dawns. No plan is made before recovery is complete, because
   * the running tasks are not known until then.
   */
  public void tick(
      List<BatchDeadlineTerms> terms,
      SharedRecord<PlanRow> record,
      Map<String, MachineType> types,
      boolean recovered,
      MonotonicTime now,
      WallTime wallTimeNow) {
    wallTime = wallTimeNow;
    if (!terms.equals(dawns)) {
      setTerms(terms);
    }
    if (dawns.isEmpty() || !record.isLoaded() || record.isUnusable()) {
      disable();
      return;
    }
    if (!currentWindows().equals(openWindows)) {
      openWindows = currentWindows();
      groups.all().forEach(this::applyPlan);
    }
    if (!restored) {
      restore(record.storedRows());
      termStart = now;
    }
    if (record.revision() != recordRevision) {
      recordRevision = record.revision();
      adopt(new ActivePlan(record.storedRows()));
    }
    if (!nextObservation.isAfter(now)) {
      nextObservation = now.plus(OBSERVE_INTERVAL);
      statistics.capacity.observe(fleet.machines(), now);
      groups.all().forEach(this::applyPlan);
    }
    if (recovered) {
      closeEndedWindows(record);
      if (!nextPlanning.isAfter(now) && !openWindows.isEmpty() && !types.isEmpty()) {
        plan(record, types, now);
      }
    }
  }

  /** Stops planning and drops the active plan. */
  public void disable() {
    if (!openWindows.isEmpty() || activePlan != ActivePlan.NONE) {
      openWindows = Map.of();
      adopt(ActivePlan.NONE);
    }
  }

  /** Updates a group's entry in the active plan, its deadline and its run time spread. */
  private void applyPlan(JobGroups.JobGroup group) {
    Optional<BatchDeadlineTerms> dawn = dawnOf(group.representative);
    group.active = activeGroup(group.representative).orElse(null);
    group.finishBy = dawn.map(terms -> openWindows.get(terms.name()).finishBy()).orElse(null);
    String name = group.representative.jobClass();
    group.runTimeSpread =
        dawn.map(
                terms ->
                    statistics.runTimes.quantileRatio(name, terms.runTimeQuantile())
                        - statistics.runTimes.meanRatio(name))
            .orElse(0.0);
  }

  private Map<String, PlanningWindow> currentWindows() {
    Map<String, PlanningWindow> windows = new LinkedHashMap<>();
    for (BatchDeadlineTerms dawn : dawns) {
      PlanningWindow.current(dawn, wallTime, settings.maxClockError())
          .ifPresent(window -> windows.put(dawn.name(), window));
    }
    return windows;
  }

  /** Takes new terms and recounts the jobs that they cover. */
  private void setTerms(List<BatchDeadlineTerms> terms) {
    dawns = List.copyOf(terms);
    groups = new JobGroups();
    statistics.setTerms(dawns);
    jobs.all().forEach(job -> groups.jobChanged(job, isCovered(job.spec())));
    jobs.setChangeListener(this::jobChanged);
    changedJobs.addAll(jobs.all());
  }

  private boolean isCovered(JobSpec spec) {
    return dawns.stream().anyMatch(dawn -> dawn.covers(spec));
  }

  private void jobChanged(Job job) {
    statistics.jobChanged(job, wallTime);
    JobGroups.JobGroup group = groups.jobChanged(job, isCovered(job.spec()));
    if (group != null) {
      if (group.jobs.size() == 1) {
        applyPlan(group);
      }
      if (group.active != null
          && group.active.isPartial()
          && isPromiseServed(group.active, group) != group.promiseServed) {
        group.promiseServed = !group.promiseServed;
        changedJobs.addAll(group.jobs);
      }
    }
  }

  /** Records the run time of a completed task. */
  public void taskCompleted(Job job, TimeSpan ran) {
    if (!dawns.isEmpty() && isCovered(job.spec())) {
      statistics.taskCompleted(job, ran);
    }
  }

  /** Restores the statistics and the plan that earlier leaders stored. */
  private void restore(List<PlanRow> rows) {
    restored = true;
    statistics.restore(rows);
    ActivePlan storedPlan = new ActivePlan(rows);
    for (ActivePlan.ActiveGroup active : storedPlan.all()) {
      JobGroups.JobGroup group = groups.find(active.group().key());
      int counted = group == null ? 0 : JobGroups.acceptedBy(group, active.window().revisedAt());
      acceptedEarlier.put(
          active.group().key(), Math.max(0, active.group().acceptedTasks() - counted));
    }
    for (BatchDeadlineTerms dawn : dawns) {
      storedPlan
          .window(dawn.name())
          .filter(window -> window.deadline().millis() > wallTime.millis())
          .ifPresent(
              window ->
                  LOG.info(
                      "dawn {}: continuing with the plan of an earlier leader, revision {} of the window, share {}",
                      dawn.name(),
                      window.revisionCount(),
                      window.share()));
    }
  }

  private void adopt(ActivePlan newPlan) {
    ActivePlan before = activePlan;
    activePlan = newPlan;
    for (JobGroups.JobGroup group : groups.all()) {
      Optional<ActivePlan.ActiveGroup> previous = before.find(group.key);
      applyPlan(group);
      Optional<ActivePlan.ActiveGroup> current = Optional.ofNullable(group.active);
      boolean served = current.isPresent() && isPromiseServed(current.get(), group);
      if (previous.isPresent() != current.isPresent()
          || served != group.promiseServed
          || current.isPresent()
              && previous.isPresent()
              && startChanged(previous.get(), current.get())) {
        changedJobs.addAll(group.jobs);
      }
      group.promiseServed = served;
    }
  }

  private boolean startChanged(ActivePlan.ActiveGroup previous, ActivePlan.ActiveGroup current) {
    double left = Math.max(1, current.group().startBy().since(wallTime).millis());
    double by = Math.abs(current.group().startBy().since(previous.group().startBy()).millis());
    return by > PlanRevisionPolicy.SIGNIFICANT_FRACTION * left
        || Math.abs(current.rank() - previous.rank()) > PlanRevisionPolicy.SIGNIFICANT_FRACTION;
  }

  /** Logs the outcome of windows that have ended, and stores the statistics. */
  private void closeEndedWindows(SharedRecord<PlanRow> record) {
    for (BatchDeadlineTerms dawn : dawns) {
      Optional<PlanRow.WindowRow> window = activePlan.window(dawn.name());
      if (window.isEmpty()
          || window.get().deadline().millis() > wallTime.millis()
          || window
              .get()
              .deadline()
              .equals(reportedEnds.put(dawn.name(), window.get().deadline()))) {
        continue;
      }
      int late = 0;
      for (ActivePlan.ActiveGroup active : activePlan.all()) {
        JobGroups.JobGroup group = groups.find(active.group().key());
        if (group != null && active.group().dawnName().equals(dawn.name())) {
          late += group.openTasks;
          changedJobs.addAll(group.jobs);
        }
      }
      LOG.info(
          "dawn {}: window ended after {} revisions; {} tasks are late and continue",
          dawn.name(),
          window.get().revisionCount(),
          late);
      requestedRevision = record.requestWrite(rows(Map.of()));
    }
  }

  private void plan(
      SharedRecord<PlanRow> record, Map<String, MachineType> types, MonotonicTime now) {
    TimeSpan shortest =
        openWindows.values().stream()
            .map(PlanningWindow::length)
            .min(TimeSpan::compareTo)
            .orElseThrow();
    nextPlanning =
        now.plus(
            PlanRevisionPolicy.clamp(
                shortest.times(0.01), MIN_PLANNING_INTERVAL, MAX_PLANNING_INTERVAL));
    if (record.revision() < requestedRevision) {
      return;
    }
    for (BatchDeadlineTerms dawn : dawns) {
      PlanningWindow window = openWindows.get(dawn.name());
      if (window != null && activePlan.window(dawn.name(), window).isEmpty()) {
        beginWindow(dawn);
      }
    }
    groups.removeUnused(activePlan.upcomingKeys(wallTime));
    Optional<PlanDraft> drafted = draftBuilder.draft(planInputs(), fleet, types, now, wallTime);
    if (drafted.isEmpty()) {
      return;
    }
    PlanDraft draft = drafted.get();
    boolean first =
        openWindows.keySet().stream()
            .anyMatch(dawnName -> activePlan.window(dawnName, openWindows.get(dawnName)).isEmpty());
    if (first && draft.groups().isEmpty()) {
      return;
    }
    boolean infeasible = draft.isPartial();
    if (infeasible && !infeasibleBefore && (!first || mayStillBoot(shortest, types, now))) {
      // A single infeasible draft may be due to a machine that is about to boot or a late response.
      infeasibleBefore = !first;
      if (!isAlreadyPartial()) {
        return;
      }
    }
    infeasibleBefore = infeasible;
    revise(record, draft);
  }

  private boolean isAlreadyPartial() {
    return openWindows.entrySet().stream()
        .anyMatch(
            entry ->
                activePlan
                    .window(entry.getKey(), entry.getValue())
                    .filter(row -> row.share() < 1)
                    .isPresent());
  }

  /** Returns whether machines requested at the beginning of the window may still be booting. */
  private boolean mayStillBoot(
      TimeSpan shortest, Map<String, MachineType> types, MonotonicTime now) {
    TimeSpan boot =
        types.values().stream()
            .map(MachineType::bootTime)
            .max(TimeSpan::compareTo)
            .orElse(TimeSpan.seconds(0));
    TimeSpan sinceOpening =
        openWindows.values().stream()
            .map(window -> wallTime.since(window.opensAt()))
            .min(TimeSpan::compareTo)
            .orElseThrow();
    TimeSpan inTerm = now.since(termStart);
    TimeSpan bootAllowance =
        PlanRevisionPolicy.clamp(boot.times(2.5), TimeSpan.seconds(0), shortest.times(0.1));
    return (sinceOpening.compareTo(inTerm) < 0 ? sinceOpening : inTerm).compareTo(bootAllowance)
        < 0;
  }

  private void beginWindow(BatchDeadlineTerms dawn) {
    for (JobGroups.JobGroup group : groups.all()) {
      if (dawnOf(group.representative).filter(dawn::equals).isPresent()
          && activePlan
              .find(group.key)
              .filter(active -> active.window().deadline().millis() > wallTime.millis())
              .isEmpty()) {
        groups.beginWindow(group);
        acceptedEarlier.remove(group.key);
      }
    }
  }

  private void revise(SharedRecord<PlanRow> record, PlanDraft draft) {
    Optional<String> reason =
        PlanRevisionPolicy.revisionReason(draft, activePlan, openWindows, wallTime);
    if (reason.isEmpty()) {
      return;
    }
    Map<String, List<PlanRow>> newRows = draft.rows(openWindows, activePlan, wallTime);
    requestedRevision = record.requestWrite(rows(newRows));
    LOG.info("deadline plan revised ({}): {}", reason.get(), draft.summary());
    newRows.values().stream()
        .flatMap(List::stream)
        .filter(PlanRow.GroupRow.class::isInstance)
        .map(PlanRow.GroupRow.class::cast)
        .forEach(
            group ->
                LOG.debug(
                    "dawn {}: group {}: {} of {} tasks promised, starts in {}, ends in {}",
                    group.dawnName(),
                    group.key(),
                    group.promisedTasks(),
                    group.acceptedTasks(),
                    group.startBy().since(wallTime),
                    group.endBy().since(wallTime)));
    if (draft.isPartial()) {
      LOG.warn("{}", draft.warning());
    }
  }

  /** Returns all rows: new ones for some dawns, the active plan of the others, and statistics. */
  private List<PlanRow> rows(Map<String, List<PlanRow>> newRows) {
    List<PlanRow> rows = new ArrayList<>();
    for (BatchDeadlineTerms dawn : dawns) {
      rows.addAll(
          newRows.containsKey(dawn.name())
              ? newRows.get(dawn.name())
              : activePlan.rows(dawn.name()));
    }
    rows.addAll(statistics.rows());
    return rows;
  }

  private DraftBuilder.PlanInputs planInputs() {
    return new DraftBuilder.PlanInputs(
        groups, dawns, openWindows, statistics, activePlan, acceptedEarlier);
  }

  private Optional<BatchDeadlineTerms> dawnOf(JobSpec spec) {
    return planInputs().dawnOf(spec);
  }

  private Optional<ActivePlan.ActiveGroup> activeGroup(JobSpec spec) {
    return activePlan
        .find(GroupKey.of(spec))
        .or(() -> activePlan.find(GroupKey.OTHERS))
        .filter(active -> active.window().deadline().millis() > wallTime.millis())
        .filter(
            active ->
                dawns.stream()
                    .anyMatch(
                        dawn ->
                            dawn.name().equals(active.group().dawnName()) && dawn.covers(spec)));
  }

  private boolean isPromiseServed(ActivePlan.ActiveGroup active, JobGroups.JobGroup group) {
    int served = acceptedEarlier.getOrDefault(group.key, 0) + group.servedTasks();
    return active.isPartial()
        && !active.group().key().equals(GroupKey.OTHERS)
        && served >= active.group().promisedTasks();
  }

  @Override
  public Optional<TimeLeft> timeToStart(Job job, WallTime now) {
    JobGroups.JobGroup group = dawns.isEmpty() ? null : groups.groupOf(job);
    // Once a group's promise is served, its jobs are scheduled as if there were no plan.
    if (group == null
        || group.active == null
        || group.promiseServed
        || group.active.window().deadline().millis() <= now.millis()) {
      return Optional.empty();
    }
    TimeSpan minimum = minTimeLeft.times(1 + group.active.rank());
    TimeSpan left = group.active.group().startBy().since(now);
    // If there is too little time for all groups, none of them waits for its planned start.
    boolean due = group.active.isPartial() || left.compareTo(minimum) <= 0;
    return Optional.of(due ? new TimeLeft(minimum, true) : new TimeLeft(left, false));
  }

  @Override
  public Optional<TimeSpan> timeToEnd(Job job, WallTime now) {
    JobGroups.JobGroup group = openWindows.isEmpty() ? null : groups.groupOf(job);
    if (group == null || group.finishBy == null) {
      return Optional.empty();
    }
    return Optional.of(
            group
                .finishBy
                .since(now)
                .minus(job.spec().estimatedRunTime().times(group.runTimeSpread)))
        .filter(left -> left.millis() > 0);
  }

  @Override
  public List<Job> takeChangedJobs() {
    if (changedJobs.isEmpty()) {
      return List.of();
    }
    List<Job> taken = List.copyOf(changedJobs);
    changedJobs.clear();
    return taken;
  }
}
