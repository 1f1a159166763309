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
public final class JobBook {
  private final StoreView view;
  private final Token token;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();

  /** Jobs that are not over, in the order in which they were stored. */
  private final Map<String, Set<Job>> byTeam = new HashMap<>();

  private final Set<Job> touched = new LinkedHashSet<>();
  private final Set<Job> complete = new LinkedHashSet<>();
  private final Set<Job> unstored = new LinkedHashSet<>();
  private final Set<Job> begun = new LinkedHashSet<>();
  private final Set<Job> over = new LinkedHashSet<>();
  private Optional<Consumer<Job>> follower = Optional.empty();

  public JobBook(StoreView view, Token token, Moment now) {
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
  public Optional<Job> changed(KnownJob known, Moment now) {
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
    job.ended(withdrawn, known.revision());
    if (withdrawn) {
      // What was stored before the last read began was known, and this was not.
      job.withdrawnAfter(view.lastConfirmed());
    }
    return withdrawn ? Optional.of(job) : Optional.empty();
  }

  /** Tells of each job that comes or changes from now on, at once; there is one to be told. */
  public void follow(Consumer<Job> told) {
    follower = Optional.of(told);
  }

  /** A team's jobs that are not over, first stored first. */
  public Collection<Job> ofTeam(String team) {
    return byTeam.getOrDefault(team, Set.of());
  }

  /** Jobs that have changed since this was asked last, new ones included. */
  public List<Job> takeTouched() {
    List<Job> taken = List.copyOf(touched);
    touched.clear();
    return taken;
  }

  /** Open jobs of which all tasks are done. */
  public List<Job> complete() {
    return List.copyOf(complete);
  }

  /** Open jobs with finished tasks that are not stored, but not all tasks. */
  public List<Job> unstored() {
    return new ArrayList<>(unstored);
  }

  /** Open jobs of which a task runs or is done. */
  public Collection<Job> begun() {
    return begun;
  }

  /** Forgets ended jobs of which nothing is left on any machine, and returns them. */
  public List<Job> sweep() {
    List<Job> swept = new ArrayList<>();
    for (Job job : over) {
      if (job.activeCount() == 0 && jobs.remove(job.id(), job)) {
        swept.add(job);
      }
    }
    over.removeAll(swept);
    return swept;
  }

  private void touched(Job job) {
    touched.add(job);
    follower.ifPresent(told -> told.accept(job));
    keep(complete, job, job.open() && job.allDone());
    keep(unstored, job, job.open() && !job.allDone() && job.dirtySince() != null);
    keep(begun, job, job.open() && (job.doneCount() > 0 || job.runningCount() > 0));
    if (job.over()) {
      over.add(job);
      byTeam.computeIfPresent(
          job.spec().team(),
          (team, open) -> {
            open.remove(job);
            return open;
          });
    }
  }

  private static void keep(Set<Job> set, Job job, boolean in) {
    if (in) {
      set.add(job);
    } else {
      set.remove(job);
    }
  }

  private Job add(KnownJob known, Moment now) {
    boolean inherited = known.revision().value() < token.value();
    Job job =
        new Job(known.spec(), known.revision(), known.acceptedAt(), inherited, now, this::touched);
    jobs.put(job.id(), job);
    if (known.phase() == JobRecord.Phase.WITHDRAWN) {
      job.ended(true, known.revision());
    } else {
      byTeam.computeIfAbsent(job.spec().team(), team -> new LinkedHashSet<>()).add(job);
      touched.add(job);
      follower.ifPresent(told -> told.accept(job));
    }
    return job;
  }
}
