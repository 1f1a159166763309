package org.oakwalk.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Token;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;

/**
 * The jobs that one leader works on: all open ones, and withdrawn ones still on machines. Which of
 * them ask for something is kept with every change of a job: looked for anew many times a second,
 * it would cost the more the longer the queue is.
 */
public final class JobRegistry {
  private final StoreView view;
  private final Token token;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();

  /** Jobs that are not over, in the order in which they were stored. */
  private final Map<String, Set<Job>> unfinishedByTeam = new HashMap<>();

  private final Set<Job> changed = new LinkedHashSet<>();
  private final Set<Job> readyToFinish = new LinkedHashSet<>();
  private final Set<Job> withUnstoredResults = new LinkedHashSet<>();
  private final Set<Job> inProgress = new LinkedHashSet<>();
  private final Set<Job> ended = new LinkedHashSet<>();
  private Optional<Consumer<Job>> changeListener = Optional.empty();

  public JobRegistry(StoreView view, Token token, Moment now) {
    this.view = view;
    this.token = token;
    List<KnownJob> open = new ArrayList<>();
    for (KnownJob known : view.jobs()) {
      if (!known.phase().isFinal()) {
        open.add(known);
      }
    }
    open.sort((a, b) -> a.stamp().compareTo(b.stamp()));
    open.forEach(known -> add(known, now));
  }

  public Collection<Job> all() {
    return jobs.values();
  }

  public Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** The job, brought back from the store's copy if it was withdrawn and its tasks show up. */
  public Optional<Job> findOrLoad(JobId id, Moment now) {
    Job job = jobs.get(id);
    if (job == null) {
      Optional<KnownJob> known = view.job(id);
      if (known.isPresent() && known.get().spec() != null) {
        job = add(known.get(), now);
      }
    }
    return Optional.ofNullable(job);
  }

  /** Takes over a stored change; returns the job if it has just been withdrawn. */
  public Optional<Job> applyStoredChange(KnownJob known, Moment now) {
    Job job = jobs.get(known.id());
    if (job == null) {
      if (!known.phase().isFinal()) {
        add(known, now);
      }
      return Optional.empty();
    }
    if (!known.phase().isFinal() || job.state() == Job.State.DONE) {
      return Optional.empty();
    }
    boolean withdrawn = known.phase() == JobRecord.Phase.WITHDRAWN;
    job.markEnded(withdrawn, known.stamp());
    if (withdrawn) {
      // What was stored before the last read began was known, and this was not.
      job.earliestWithdrawalNotice(view.contact());
    }
    return withdrawn ? Optional.of(job) : Optional.empty();
  }

  /** Tells of each job that comes or changes from now on, at once; there is one to be told. */
  public void setChangeListener(Consumer<Job> told) {
    changeListener = Optional.of(told);
  }

  /** A team's jobs that are not over, first stored first. */
  public Collection<Job> unfinishedOfTeam(String team) {
    return unfinishedByTeam.getOrDefault(team, Set.of());
  }

  /** Jobs that have changed since this was asked last, new ones included. */
  public List<Job> takeChanged() {
    List<Job> taken = List.copyOf(changed);
    changed.clear();
    return taken;
  }

  /** Open jobs of which all tasks are done. */
  public List<Job> readyToFinish() {
    return List.copyOf(readyToFinish);
  }

  /** Open jobs with finished tasks that are not stored, but not all tasks. */
  public List<Job> withUnstoredResults() {
    return new ArrayList<>(withUnstoredResults);
  }

  /** Open jobs of which a task runs or is done. */
  public Collection<Job> inProgress() {
    return inProgress;
  }

  /** Forgets ended jobs of which nothing is left on any machine, and returns them. */
  public List<Job> removeEnded() {
    List<Job> swept = new ArrayList<>();
    for (Job job : ended) {
      if (job.assignedCount() == 0 && jobs.remove(job.id(), job)) {
        swept.add(job);
      }
    }
    ended.removeAll(swept);
    return swept;
  }

  private void jobChanged(Job job) {
    changed.add(job);
    changeListener.ifPresent(told -> told.accept(job));
    setMembership(readyToFinish, job, job.isOpen() && job.allDone());
    setMembership(
        withUnstoredResults, job, job.isOpen() && !job.allDone() && job.dirtySince() != null);
    setMembership(inProgress, job, job.isOpen() && (job.doneCount() > 0 || job.runningCount() > 0));
    if (job.isEnded()) {
      ended.add(job);
      unfinishedByTeam.computeIfPresent(
          job.spec().team(),
          (team, open) -> {
            open.remove(job);
            return open;
          });
    }
  }

  private static void setMembership(Set<Job> set, Job job, boolean in) {
    if (in) {
      set.add(job);
    } else {
      set.remove(job);
    }
  }

  private Job add(KnownJob known, Moment now) {
    boolean inherited = known.stamp().value() < token.value();
    Job job =
        new Job(known.spec(), known.stamp(), known.accepted(), inherited, now, this::jobChanged);
    jobs.put(job.id(), job);
    if (known.phase() == JobRecord.Phase.WITHDRAWN) {
      job.markEnded(true, known.stamp());
    } else {
      unfinishedByTeam.computeIfAbsent(job.spec().team(), team -> new LinkedHashSet<>()).add(job);
      changed.add(job);
      changeListener.ifPresent(told -> told.accept(job));
    }
    return job;
  }
}
