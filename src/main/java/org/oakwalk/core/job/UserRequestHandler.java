package org.oakwalk.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
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
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves user requests, on every node.
 *
 * <p>A submission or withdrawal is confirmed only after it is stored. A job's status is answered
 * only after a read of the store that began after the request arrived, unless the job is known to
 * be in a final state.
 */
public final class UserRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequestHandler.class);

  /** Delay after which clients may retry an unavailable request. */
  private static final TimeSpan RETRY_DELAY = TimeSpan.seconds(1);

  /** Delay after which clients may retry a submission that was refused by admission control. */
  private static final TimeSpan OVERLOAD_RETRY_DELAY = TimeSpan.seconds(10);

  private static final int MAX_WITHDRAWAL_ATTEMPTS = 4;

  private final Outbox outbox;
  private final StoreView view;
  private final Map<String, Settings.Team> teams;
  private final AdmissionControl admission;
  private Map<String, MachineType> machineTypes = Map.of();
  private Map<JobId, PeerMessage.TaskCounts> taskCounts = new HashMap<>();
  private MonotonicTime now = new MonotonicTime(0);
  private WallTime wallTime = new WallTime(0);

  public UserRequestHandler(
      Outbox outbox, StoreView view, Map<String, Settings.Team> teams, AdmissionControl admission) {
    this.admission = admission;
    this.outbox = outbox;
    this.view = view;
    this.teams = teams;
  }

  /** Sets the known machine types, by name. */
  public void setMachineTypes(Map<String, MachineType> known) {
    machineTypes = known;
  }

  /** Sets the task counts of open jobs, as last sent by the leader. */
  public void setTaskCounts(Map<JobId, PeerMessage.TaskCounts> current) {
    taskCounts = current;
  }

  /** Sets the monotonic time and the wall-clock time for the next calls. */
  public void setTime(MonotonicTime monotonicTime, WallTime newWallTime) {
    now = monotonicTime;
    wallTime = newWallTime;
  }

  /** Returns whether the machine types are known, without which submissions can't be validated. */
  public boolean hasMachineTypes() {
    return !machineTypes.isEmpty();
  }

  /** Serves a request; {@code answer} is called exactly once. */
  public void serve(UserRequest request, Consumer<Response> answer) {
    Optional<KnownJob> known = view.job(request.job());
    if (known.isPresent() && known.get().phase().isFinal()) {
      answer.accept(status(known.get()));
      return;
    }
    if (request instanceof UserRequest.Submit submit) {
      submit(submit, answer);
    } else if (request instanceof UserRequest.Withdraw) {
      withdraw(request.job(), MAX_WITHDRAWAL_ATTEMPTS, answer);
    } else {
      readCurrent(request.job(), answer, job -> answer.accept(status(job)), 404);
    }
  }

  /**
   * Looks up a job after bringing the copy of the store up to date.
   *
   * @param absentStatus HTTP status of the answer if there is no such job
   */
  private void readCurrent(
      JobId id, Consumer<Response> answer, Consumer<KnownJob> action, int absentStatus) {
    view.catchUp(
        now,
        known -> {
          if (!known) {
            answer.accept(Response.unavailable("state service out of reach", RETRY_DELAY));
          } else if (view.isUnreadable(id)) {
            answer.accept(Response.unavailable("record of the job can't be read", RETRY_DELAY));
          } else if (view.job(id).isEmpty()) {
            answer.accept(Response.refusal(absentStatus, "no such job"));
          } else {
            action.accept(view.job(id).get());
          }
        });
  }

  private void submit(UserRequest.Submit request, Consumer<Response> answer) {
    Response refusal = validate(request);
    if (refusal == null && view.job(request.job()).isEmpty()) {
      create(request.spec().orElseThrow(), answer);
      return;
    }
    // A known job is answered with its state, even if the repeated submission has another body.
    view.catchUp(
        now,
        known -> {
          Optional<KnownJob> job = view.job(request.job());
          if (!known) {
            answer.accept(Response.unavailable("state service out of reach", RETRY_DELAY));
          } else if (view.isUnreadable(request.job())) {
            // The job may have been accepted, so it must not be refused as invalid. Its last
            // readable state may be older than what other nodes have answered, so it isn't used.
            answer.accept(Response.unavailable("record of the job can't be read", RETRY_DELAY));
          } else if (job.isPresent()) {
            answer.accept(status(job.get()));
          } else if (refusal != null) {
            answer.accept(refusal);
          } else {
            create(request.spec().orElseThrow(), answer);
          }
        });
  }

  /** Returns the refusal of an invalid submission, or null if the submission is valid. */
  private Response validate(UserRequest.Submit request) {
    if (request.spec().isEmpty()) {
      return Response.refusal(400, request.problem());
    }
    JobSpec spec = request.spec().get();
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return Response.refusal(422, "unknown team " + spec.team());
    }
    int concurrentTasks = spec.shape() == JobSpec.Shape.ARRAY ? 1 : spec.tasks();
    if (team.cpusMax() > 0 && spec.resources().cpus() * concurrentTasks > team.cpusMax() + 1e-6
        || team.gpusMax() > 0
            && spec.resources().gpus() * concurrentTasks > team.gpusMax() + 1e-6) {
      return Response.refusal(422, "more than the limit of team " + spec.team());
    }
    if (machineTypes.isEmpty()) {
      return Response.unavailable("machine types not known yet", RETRY_DELAY);
    }
    Set<String> zones = zonesFor(spec);
    if (zones.isEmpty()) {
      return Response.refusal(422, "a task fits no allowed machine type");
    }
    // Tasks of an array may run one after the other; those of gangs and services run concurrently.
    int concurrentZones = spec.oneZone() ? 1 : zones.size();
    if (concurrentTasks > 1 && concurrentZones * spec.maxTasksPerZone() < spec.tasks()) {
      return Response.refusal(422, "tasks are to be spread, and may be in one zone only");
    }
    return null;
  }

  /** Returns the zones in which a task fits a machine type that the job allows. */
  private Set<String> zonesFor(JobSpec spec) {
    Set<String> zones = new HashSet<>();
    for (MachineType type : machineTypes.values()) {
      if (spec.resources().fitsInto(type.resources())) {
        type.zones().stream()
            .filter(zone -> spec.allows(type.name(), zone, false))
            .forEach(zones::add);
      }
    }
    return zones;
  }

  private void create(JobSpec spec, Consumer<Response> answer) {
    if (!admission.admits(spec.team())) {
      answer.accept(
          Response.overloaded("too many open jobs of team " + spec.team(), OVERLOAD_RETRY_DELAY));
      return;
    }
    String key = StoreKeys.job(spec.id());
    JobRecord record = new JobRecord(spec, JobRecord.Phase.OPEN, wallTime);
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
            readCurrent(spec.id(), answer, job -> answer.accept(status(job)), 503);
          } else {
            // The record may be stored, not stored, or stored later: the client has to retry.
            answer.accept(Response.unavailable("state service out of reach", RETRY_DELAY));
          }
        });
  }

  private void withdraw(JobId id, int attemptsLeft, Consumer<Response> answer) {
    readCurrent(
        id,
        answer,
        job -> {
          if (job.phase().isFinal()) {
            answer.accept(status(job));
          } else if (attemptsLeft <= 0) {
            answer.accept(Response.unavailable("job is changing", RETRY_DELAY));
          } else {
            storeWithdrawal(job, attemptsLeft, answer);
          }
        },
        404);
  }

  private void storeWithdrawal(KnownJob job, int attemptsLeft, Consumer<Response> answer) {
    String key = StoreKeys.job(job.id());
    JobRecord record = job.record().withPhase(JobRecord.Phase.WITHDRAWN);
    outbox.call(
        new Request.Commit(
            List.of(new Guard(key, job.revision())),
            List.of(new Change.Put(key, record, Optional.empty())),
            Request.Urgency.WITHDRAWAL),
        reply -> {
          if (reply instanceof Answer.Committed committed) {
            LOG.info("job {} withdrawn at revision {}", job.id(), committed.revision());
            // If this node is the leader, it must not start tasks of the job once the user knows of
            // the withdrawal.
            view.applyOwnWrite(record, committed.revision());
            answer.accept(
                new Response.JobStatus(false, job.id(), Response.JobState.CANCELLED, 0, 0));
          } else if (reply instanceof Answer.Conflict) {
            withdraw(job.id(), attemptsLeft - 1, answer);
          } else {
            answer.accept(Response.unavailable("state service out of reach", RETRY_DELAY));
          }
        });
  }

  /**
   * Returns the response to send to the user after another controller answered a forwarded request.
   * A final state is recorded on this node before the user sees it. An answer that is older than a
   * final state known to this node is replaced by that state.
   *
   * @param forwarded the other controller's response
   * @param fallback the response to send if the final state can't be recorded here
   */
  public Response resolveForwarded(Response forwarded, Response fallback) {
    if (!(forwarded instanceof Response.JobStatus job)) {
      return forwarded;
    }
    return switch (job.state()) {
      case DONE -> view.learnEnd(job.job(), JobRecord.Phase.DONE) ? forwarded : fallback;
      case CANCELLED -> view.learnEnd(job.job(), JobRecord.Phase.WITHDRAWN) ? forwarded : fallback;
      case QUEUED, RUNNING ->
          view.job(job.job())
              .filter(known -> known.phase().isFinal())
              .map(this::status)
              .orElse(forwarded);
    };
  }

  private Response status(KnownJob job) {
    PeerMessage.TaskCounts count =
        taskCounts.getOrDefault(job.id(), new PeerMessage.TaskCounts(0, 0));
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
