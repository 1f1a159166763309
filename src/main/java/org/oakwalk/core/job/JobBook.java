package org.oakwalk.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Token;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;

/** The jobs that one leader works on: all open ones, and withdrawn ones still on machines. */
public final class JobBook {
  private final StoreView view;
  private final Token token;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();

  public JobBook(StoreView view, Token token, Moment now) {
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
    job.ended(withdrawn, known.stamp());
    return withdrawn ? Optional.of(job) : Optional.empty();
  }

  /** Forgets ended jobs of which nothing is left on any machine. */
  public void sweep() {
    jobs.values().removeIf(job -> job.over() && job.activeCount() == 0);
  }

  private Job add(KnownJob known, Moment now) {
    boolean inherited = known.stamp().value() < token.value();
    Job job = new Job(known.spec(), known.stamp(), known.accepted(), inherited, now);
    if (known.phase() == JobRecord.Phase.WITHDRAWN) {
      job.ended(true, known.stamp());
    }
    jobs.put(job.id(), job);
    return job;
  }
}
