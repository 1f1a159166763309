package org.oakwalk.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves users, on every node. Nothing is promised that is not stored, and nothing but a final
 * state is told without a read of the store that began after the question came.
 */
public final class UserRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequestHandler.class);
  private static final Span SOON = Span.seconds(1);
  private static final Span FULL = Span.seconds(10);
  private static final int MOST_TRIES = 4;

  private final Outbox outbox;
  private final StoreView view;
  private final Map<String, Settings.Team> teams;
  private final Admission admission;
  private Map<String, MachineType> types = Map.of();
  private Map<JobId, PeerMessage.TaskCounts> counts = new HashMap<>();
  private Moment now = new Moment(0);
  private WallTime wall = new WallTime(0);

  public UserRequestHandler(
      Outbox outbox, StoreView view, Map<String, Settings.Team> teams, Admission admission) {
    this.admission = admission;
    this.outbox = outbox;
    this.view = view;
    this.teams = teams;
  }

  public void types(Map<String, MachineType> known) {
    types = known;
  }

  /** How far the open jobs are, as the leader last said. */
  public void counts(Map<JobId, PeerMessage.TaskCounts> current) {
    counts = current;
  }

  public void clock(Moment steady, WallTime dayTime) {
    now = steady;
    wall = dayTime;
  }

  /** Whether submissions can be judged. */
  public boolean knowsTypes() {
    return !types.isEmpty();
  }

  /** Serves a request; the answer is given exactly once. */
  public void serve(UserRequest request, Consumer<Response> answer) {
    Optional<KnownJob> known = view.job(request.job());
    if (known.isPresent() && known.get().phase().isFinal()) {
      answer.accept(status(known.get()));
      return;
    }
    if (request instanceof UserRequest.Submit submit) {
      submit(submit, answer);
    } else if (request instanceof UserRequest.Withdraw) {
      withdraw(request.job(), MOST_TRIES, answer);
    } else {
      current(request.job(), answer, job -> answer.accept(status(job)), 404);
    }
  }

  /** Looks a job up in a copy that is surely current; {@code absent} answers for an unknown one. */
  private void current(JobId id, Consumer<Response> answer, Consumer<KnownJob> then, int absent) {
    view.catchUp(
        now,
        known -> {
          if (!known) {
            answer.accept(Response.unavailable("state service out of reach", SOON));
          } else if (view.unreadable(id)) {
            answer.accept(Response.unavailable("record of the job can't be read", SOON));
          } else if (view.job(id).isEmpty()) {
            answer.accept(Response.refusal(absent, "no such job"));
          } else {
            then.accept(view.job(id).get());
          }
        });
  }

  private void submit(UserRequest.Submit request, Consumer<Response> answer) {
    Response verdict = verdict(request);
    if (verdict == null && view.job(request.job()).isEmpty()) {
      create(request.spec().orElseThrow(), answer);
      return;
    }
    // A job that is known already is answered with its state, whatever the body says now.
    view.catchUp(
        now,
        known -> {
          Optional<KnownJob> job = view.job(request.job());
          if (!known) {
            answer.accept(Response.unavailable("state service out of reach", SOON));
          } else if (view.unreadable(request.job())) {
            // It may have been accepted, so nobody may be told that it can't be; and what was read
            // of it before may be older than what others have told.
            answer.accept(Response.unavailable("record of the job can't be read", SOON));
          } else if (job.isPresent()) {
            answer.accept(status(job.get()));
          } else if (verdict != null) {
            answer.accept(verdict);
          } else {
            create(request.spec().orElseThrow(), answer);
          }
        });
  }

  /** Why a submission can't be taken, or null. */
  private Response verdict(UserRequest.Submit request) {
    if (request.spec().isEmpty()) {
      return Response.refusal(400, request.problem());
    }
    JobSpec spec = request.spec().get();
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return Response.refusal(422, "unknown team " + spec.team());
    }
    int most = spec.shape() == JobSpec.Shape.ARRAY ? 1 : spec.tasks();
    if (team.cpusMax() > 0 && spec.room().cpus() * most > team.cpusMax() + 1e-6
        || team.gpusMax() > 0 && spec.room().gpus() * most > team.gpusMax() + 1e-6) {
      return Response.refusal(422, "more than the limit of team " + spec.team());
    }
    if (types.isEmpty()) {
      return Response.unavailable("machine types not known yet", SOON);
    }
    Set<String> zones = zonesFor(spec);
    if (zones.isEmpty()) {
      return Response.refusal(422, "a task fits no allowed machine type");
    }
    // An array's tasks may go one after the other; those of others have to be there at once.
    int zonesAtOnce = spec.oneZone() ? 1 : zones.size();
    if (most > 1 && zonesAtOnce * spec.zoneLimit() < spec.tasks()) {
      return Response.refusal(422, "tasks are to be spread, and may be in one zone only");
    }
    return null;
  }

  /** Zones in which a task fits a machine type that the job allows. */
  private Set<String> zonesFor(JobSpec spec) {
    Set<String> zones = new HashSet<>();
    for (MachineType type : types.values()) {
      if (spec.room().fits(type.room())) {
        type.zones().stream()
            .filter(zone -> spec.allows(type.name(), zone, false))
            .forEach(zones::add);
      }
    }
    return zones;
  }

  private void create(JobSpec spec, Consumer<Response> answer) {
    if (!admission.admits(spec.team())) {
      answer.accept(Response.overloaded("too many open jobs of team " + spec.team(), FULL));
      return;
    }
    String key = Keys.job(spec.id());
    JobRecord record = new JobRecord(spec, JobRecord.Phase.OPEN, wall);
    outbox.call(
        new Request.Commit(
            List.of(new Guard(key, Revision.NONE)),
            List.of(new Change.Put(key, record, Optional.empty())),
            Request.Urgency.ACCEPTANCE),
        reply -> {
          if (reply instanceof Answer.Committed) {
            LOG.info("job {} accepted, {} tasks", spec.id(), spec.tasks());
            answer.accept(new Response.JobStatus(true, spec.id(), Response.JobState.QUEUED, 0, 0));
          } else if (reply instanceof Answer.Conflict) {
            current(spec.id(), answer, job -> answer.accept(status(job)), 503);
          } else {
            // Perhaps stored, perhaps not, perhaps later: the user asks again.
            answer.accept(Response.unavailable("state service out of reach", SOON));
          }
        });
  }

  private void withdraw(JobId id, int tries, Consumer<Response> answer) {
    current(
        id,
        answer,
        job -> {
          if (job.phase().isFinal()) {
            answer.accept(status(job));
          } else if (tries <= 0) {
            answer.accept(Response.unavailable("job is changing", SOON));
          } else {
            storeWithdrawal(job, tries, answer);
          }
        },
        404);
  }

  private void storeWithdrawal(KnownJob job, int tries, Consumer<Response> answer) {
    String key = Keys.job(job.id());
    JobRecord record = job.record().in(JobRecord.Phase.WITHDRAWN);
    outbox.call(
        new Request.Commit(
            List.of(new Guard(key, job.stamp())),
            List.of(new Change.Put(key, record, Optional.empty())),
            Request.Urgency.WITHDRAWAL),
        reply -> {
          if (reply instanceof Answer.Committed committed) {
            LOG.info("job {} withdrawn at revision {}", job.id(), committed.revision());
            // If this node leads it may order no start once the user has been told.
            view.written(record, committed.revision());
            answer.accept(
                new Response.JobStatus(false, job.id(), Response.JobState.CANCELLED, 0, 0));
          } else if (reply instanceof Answer.Conflict) {
            withdraw(job.id(), tries - 1, answer);
          } else {
            answer.accept(Response.unavailable("state service out of reach", SOON));
          }
        });
  }

  /**
   * What a user is told of an answer that another controller gave to a forwarded request. An end
   * counts for this node before its user hears of it; and what is older than an end that this node
   * knows by now is not told any more.
   */
  public Response passOn(Response told, Response otherwise) {
    if (!(told instanceof Response.JobStatus job)) {
      return told;
    }
    return switch (job.state()) {
      case DONE -> view.learned(job.job(), JobRecord.Phase.DONE) ? told : otherwise;
      case CANCELLED -> view.learned(job.job(), JobRecord.Phase.WITHDRAWN) ? told : otherwise;
      case QUEUED, RUNNING ->
          view.job(job.job())
              .filter(known -> known.phase().isFinal())
              .map(this::status)
              .orElse(told);
    };
  }

  private Response status(KnownJob job) {
    PeerMessage.TaskCounts count = counts.getOrDefault(job.id(), new PeerMessage.TaskCounts(0, 0));
    return switch (job.phase()) {
      case DONE -> new Response.JobStatus(false, job.id(), Response.JobState.DONE, job.tasks(), 0);
      case WITHDRAWN ->
          new Response.JobStatus(false, job.id(), Response.JobState.CANCELLED, count.done(), 0);
      case OPEN ->
          new Response.JobStatus(
              false,
              job.id(),
              count.running() > 0 ? Response.JobState.RUNNING : Response.JobState.QUEUED,
              count.done(),
              count.running());
    };
  }
}
