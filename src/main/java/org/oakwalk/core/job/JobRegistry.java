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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Token;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;

/**
 * The jobs that one leader schedules: all open jobs, and ended jobs that still have tasks on
 * machines.
 *
 * <p>The sets of jobs that need some action are updated with every change of a job. Searching all
 * jobs for them many times a second would cost more the longer the queue is.
 */
public final class JobRegistry {
  private final StoreView view;
  private final Token token;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();

  /** Jobs that have not ended, by team, in the order in which they were stored. */
  private final Map<String, Set<Job>> unfinishedByTeam = new HashMap<>();

  private final Set<Job> changed = new LinkedHashSet<>();
  private final Set<Job> readyToFinish = new LinkedHashSet<>();
  private final Set<Job> withUnstoredResults = new LinkedHashSet<>();
  private final Set<Job> inProgress = new LinkedHashSet<>();
  private final Set<Job> ended = new LinkedHashSet<>();
  private Optional<Consumer<Job>> changeListener = Optional.empty();

  /** Loads all open jobs from the copy of the store. */
  public JobRegistry(StoreView view, Token token, MonotonicTime now) {
    this.view = view;
    this.token = token;
    List<KnownJob> open = new ArrayList<>();
    for (KnownJob known : view.jobs()) {
      if (!known.phase().isFinal()) {
        open.add(known);
      }
    }
    open.sort((a, b) -> a.revision().compareTo(b.revision()));
    open.forEach(known -> add(known, now));
  }

  public Collection<Job> all() {
    return jobs.values();
  }

  public Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /**
   * Returns the job, loading it from the copy of the store if this registry doesn't hold it. A
   * withdrawn job that was removed is needed again when a machine reports tasks of it.
   */
  public Optional<Job> findOrLoad(JobId id, MonotonicTime now) {
    Job job = jobs.get(id);
    if (job == null) {
      Optional<KnownJob> known = view.job(id);
      if (known.isPresent() && known.get().spec() != null) {
        job = add(known.get(), now);
      }
    }
    return Optional.ofNullable(job);
  }

  /** Applies a change seen in the store; returns the job if the change is its withdrawal. */
  public Optional<Job> applyStoredChange(KnownJob known, MonotonicTime now) {
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
    job.markEnded(withdrawn, known.revision());
    if (withdrawn) {
      // Everything stored before the last completed read of the store began was known already, and
      // this withdrawal was not. So it was stored later.
      job.earliestWithdrawalNotice(view.lastConfirmed());
    }
    return withdrawn ? Optional.of(job) : Optional.empty();
  }

  /** Sets the only listener, called synchronously for every job that is added or changes. */
  public void setChangeListener(Consumer<Job> listener) {
    changeListener = Optional.of(listener);
  }

  /** Returns the team's jobs that have not ended, in the order in which they were stored. */
  public Collection<Job> unfinishedOfTeam(String team) {
    return unfinishedByTeam.getOrDefault(team, Set.of());
  }

  /** Returns the jobs that were added or changed since the last call. */
  public List<Job> takeChanged() {
    List<Job> taken = List.copyOf(changed);
    changed.clear();
    return taken;
  }

  /** Returns the open jobs of which all tasks are done. */
  public List<Job> readyToFinish() {
    return List.copyOf(readyToFinish);
  }

  /** Returns the open jobs with done tasks that are not stored, except jobs with all tasks done. */
  public List<Job> withUnstoredResults() {
    return new ArrayList<>(withUnstoredResults);
  }

  /** Returns the open jobs with a task that is running or done. */
  public Collection<Job> inProgress() {
    return inProgress;
  }

  /** Removes and returns the ended jobs that have no task assigned to a machine any more. */
  public List<Job> removeEnded() {
    List<Job> removed = new ArrayList<>();
    for (Job job : ended) {
      if (job.assignedCount() == 0 && jobs.remove(job.id(), job)) {
        removed.add(job);
      }
    }
    ended.removeAll(removed);
    return removed;
  }

  private void jobChanged(Job job) {
    changed.add(job);
    changeListener.ifPresent(listener -> listener.accept(job));
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

  private static void setMembership(Set<Job> set, Job job, boolean member) {
    if (member) {
      set.add(job);
    } else {
      set.remove(job);
    }
  }

  private Job add(KnownJob known, MonotonicTime now) {
    boolean inherited = known.revision().value() < token.value();
    Job job =
        new Job(
            known.spec(), known.revision(), known.acceptedAt(), inherited, now, this::jobChanged);
    jobs.put(job.id(), job);
    if (known.phase() == JobRecord.Phase.WITHDRAWN) {
      job.markEnded(true, known.revision());
    } else {
      unfinishedByTeam.computeIfAbsent(job.spec().team(), team -> new LinkedHashSet<>()).add(job);
      changed.add(job);
      changeListener.ifPresent(listener -> listener.accept(job));
    }
    return job;
  }
}
