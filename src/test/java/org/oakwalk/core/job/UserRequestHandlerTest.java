package org.oakwalk.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;
import org.oakwalk.core.store.FaultyStore;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/**
 * Tests the answers of one node to users, with a store that loses answers or applies writes late.
 */
class UserRequestHandlerTest {
  private static final JobId JOB = new JobId("j-1");
  private static final UserRequest QUERY = new UserRequest.Query(JOB);
  private static final UserRequest WITHDRAW = new UserRequest.Withdraw(JOB);
  private static final UserRequest MALFORMED =
      new UserRequest.Submit(JOB, Optional.empty(), "field crew is missing");

  private static final Response UNAVAILABLE =
      Response.unavailable("out of reach", TimeSpan.seconds(1));

  private final FaultyStore store = new FaultyStore();
  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 1);
  private final Map<String, Settings.Team> teams =
      Map.of(
          "crew", new Settings.Team("crew", 0, 0, 0, 0),
          "small", new Settings.Team("small", 4, 8, 0, 2));
  private final UserRequestHandler userRequests =
      new UserRequestHandler(outbox, view, teams, new AdmissionControl(teams, view, 1000));
  private final List<JobRecord.Phase> observedPhases = new ArrayList<>();
  private FaultyStore.CommitOutcome outcome = FaultyStore.CommitOutcome.APPLIED;
  private MonotonicTime now = new MonotonicTime(1000);

  @BeforeEach
  void load() {
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {}

          @Override
          public void jobChanged(KnownJob job, MonotonicTime at) {
            observedPhases.add(job.phase());
          }
        });
    userRequests.setMachineTypes(
        Map.of(
            "m", type("m", Resources.ofMachine(4, 0, 16), "a", "b"),
            "g", type("g", Resources.ofMachine(8, 2, 32), "b")));
    view.tick(now);
    store.serve(outbox, commit -> outcome);
  }

  private static MachineType type(String name, Resources resources, String... zones) {
    return new MachineType(name, resources, 50, 1, 1, 0.3, TimeSpan.seconds(20), List.of(zones));
  }

  /**
   * Serves a request and the store requests that it causes. The node's copy of the store is not
   * updated beforehand.
   */
  private Response ask(UserRequest request) {
    now = now.plus(TimeSpan.seconds(1));
    view.setTime(now);
    userRequests.setTime(now, new WallTime(0));
    List<Response> answers = new ArrayList<>();
    userRequests.serve(request, answers::add);
    store.serve(outbox, commit -> outcome);
    for (int i = 0; i < 10 && answers.isEmpty(); i++) {
      now = now.plus(TimeSpan.millis(100));
      view.tick(now);
      store.serve(outbox, commit -> outcome);
    }
    assertThat(answers).hasSize(1);
    return answers.get(0);
  }

  private static int code(Response response) {
    if (response instanceof Response.Problem problem) {
      return problem.status();
    }
    return ((Response.JobStatus) response).created() ? 201 : 200;
  }

  private static Response.JobState state(Response response) {
    return ((Response.JobStatus) response).state();
  }

  private static UserRequest submit(JobSpec spec) {
    return new UserRequest.Submit(spec.id(), Optional.of(spec), "");
  }

  private static UserRequest simpleSubmission() {
    return submit(ArrayJobs.spec(JOB.value(), 2));
  }

  private static JobSpec spec(
      String shape,
      int tasks,
      double cpus,
      double gpus,
      double memory,
      String team,
      String constraints) {
    Set<String> types =
        constraints.contains("type:") ? Set.of(valueAfter(constraints, "type:")) : Set.of();
    return new JobSpec(
        JOB,
        "class",
        team,
        JobSpec.Shape.valueOf(shape.toUpperCase(Locale.ROOT)),
        Priority.NORMAL,
        tasks,
        Resources.ofTask(cpus, gpus, memory),
        types,
        constraints.contains("zone:")
            ? Optional.of(valueAfter(constraints, "zone:"))
            : Optional.empty(),
        constraints.contains("same"),
        constraints.contains("spread"),
        true,
        "img",
        0,
        TimeSpan.seconds(1),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        Optional.empty());
  }

  private static String valueAfter(String text, String prefix) {
    return text.substring(text.indexOf(prefix) + prefix.length()).split(" ")[0];
  }

  @ParameterizedTest
  @CsvSource({
    // at and above the size of the largest allowed machine
    "array, 1, 8, 2, 32, crew, any, 201",
    "array, 1, 8.01, 0, 1, crew, any, 422",
    "array, 1, 1, 2.01, 1, crew, any, 422",
    "array, 1, 1, 0, 32.01, crew, any, 422",
    "array, 1, 0, 0, 0, crew, any, 201",
    "array, 100000, 1, 0, 1, crew, any, 201",
    // types and zones
    "array, 1, 4, 0, 16, crew, type:m, 201",
    "array, 1, 5, 0, 16, crew, type:m, 422",
    "array, 1, 1, 1, 1, crew, type:m, 422",
    "array, 1, 1, 0, 1, crew, type:none, 422",
    "array, 1, 1, 0, 1, crew, zone:a, 201",
    "array, 1, 1, 0, 1, crew, zone:none, 422",
    "array, 1, 5, 0, 1, crew, zone:a, 422",
    "array, 1, 5, 0, 1, crew, zone:b, 201",
    "array, 1, 1, 0, 1, crew, type:g zone:a, 422",
    "array, 1, 1, 0, 1, crew, type:g zone:b, 201",
    // teams and their quotas
    "array, 1, 1, 0, 1, nobody, any, 422",
    "array, 50, 8, 0, 1, small, any, 201",
    "service, 2, 4, 0, 1, small, any, 201",
    "service, 3, 4, 0, 1, small, any, 422",
    "service, 9, 1, 0, 1, small, any, 422",
    "gang, 8, 1, 0, 1, small, any, 201",
    "gang, 9, 1, 0, 1, small, any, 422",
    "service, 2, 1, 1, 1, small, any, 201",
    "service, 3, 1, 1, 1, small, any, 422",
    "array, 3, 1, 1, 1, small, any, 201",
    "service, 90000, 1, 0, 1, crew, any, 201",
    // spread: at most half of the tasks, rounded up, run in one zone at the same time
    "service, 2, 1, 0, 1, crew, spread, 201",
    "service, 9, 1, 0, 1, crew, spread, 201",
    "service, 1, 1, 0, 1, crew, spread same zone:a, 201",
    "service, 2, 1, 0, 1, crew, spread zone:a, 422",
    "gang, 2, 1, 0, 1, crew, spread zone:a, 422",
    "service, 2, 1, 0, 1, crew, spread same, 422",
    "gang, 16, 1, 0, 1, crew, spread same, 422",
    "service, 2, 1, 1, 1, crew, spread, 422",
    "service, 2, 1, 0, 1, crew, spread type:g, 422",
    "gang, 2, 5, 0, 1, crew, spread, 422",
    "service, 2, 1, 0, 1, crew, same, 201",
    "service, 2, 1, 0, 1, crew, zone:a, 201",
    "array, 9, 1, 0, 1, crew, spread zone:a, 201",
    "array, 9, 1, 0, 1, crew, spread same, 201",
    "array, 9, 1, 1, 1, crew, spread, 201",
  })
  void acceptsExactlyTheJobsThatCanRun(
      String shape,
      int tasks,
      double cpus,
      double gpus,
      double memory,
      String team,
      String constraints,
      int status) {
    UserRequest request = submit(spec(shape, tasks, cpus, gpus, memory, team, constraints));
    assertThat(code(ask(request))).isEqualTo(status);
    assertThat(store.find(StoreKeys.job(JOB)).isPresent()).isEqualTo(status == 201);
    // A repeated submission finds the job, or is refused with the same status.
    assertThat(code(ask(request))).isEqualTo(status == 201 ? 200 : status);
    assertThat(code(ask(QUERY))).isEqualTo(status == 201 ? 200 : 404);
  }

  @Test
  void malformedSubmissionIsRefusedUnlessJobIsKnown() {
    assertThat(code(ask(MALFORMED))).isEqualTo(400);
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(code(ask(MALFORMED))).isEqualTo(200);
    assertThat(code(ask(submit(spec("array", 1, 99, 0, 1, "nobody", "any"))))).isEqualTo(200);
    assertThat(code(ask(submit(spec("gang", 2, 1, 0, 1, "crew", "spread same"))))).isEqualTo(200);
  }

  @Test
  void withoutMachineTypesOnlyTypeIndependentRefusalsAreFinal() {
    userRequests.setMachineTypes(Map.of());
    assertThat(code(ask(simpleSubmission()))).isEqualTo(503);
    assertThat(code(ask(MALFORMED))).isEqualTo(400);
    assertThat(code(ask(submit(spec("array", 1, 1, 0, 1, "nobody", "any"))))).isEqualTo(422);
    assertThat(store.find(StoreKeys.job(JOB))).isEmpty();
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(code(ask(simpleSubmission()))).isEqualTo(200);
  }

  @Test
  void unreadableRecordIsAnsweredAsUnavailable() {
    // In the first round the node's copy doesn't have the record yet, in the second it does.
    store.put(StoreKeys.job(JOB), new StoredValue.Unreadable("damaged"));
    for (int round = 0; round < 2; round++) {
      assertThat(code(ask(simpleSubmission()))).isEqualTo(503);
      assertThat(code(ask(MALFORMED))).isEqualTo(503);
      assertThat(code(ask(submit(spec("array", 1, 1, 0, 1, "nobody", "any"))))).isEqualTo(503);
      assertThat(code(ask(submit(spec("array", 1, 99, 0, 1, "crew", "any"))))).isEqualTo(503);
      assertThat(code(ask(QUERY))).isEqualTo(503);
      assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    }
  }

  @Test
  void recordThatBecomesUnreadableIsNotAnsweredFromOlderCopy() {
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    store.put(StoreKeys.job(JOB), new StoredValue.Unreadable("of a later version"));
    assertThat(code(ask(simpleSubmission()))).isEqualTo(503);
    assertThat(code(ask(QUERY))).isEqualTo(503);
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    assertThat(code(ask(MALFORMED))).isEqualTo(503);
  }

  @Test
  void submissionWithLostAnswerIsUnavailableUntilKnown() {
    outcome = FaultyStore.CommitOutcome.ANSWER_LOST;
    assertThat(code(ask(simpleSubmission()))).isEqualTo(503);
    outcome = FaultyStore.CommitOutcome.APPLIED;
    assertThat(code(ask(simpleSubmission()))).isEqualTo(200);
  }

  @Test
  void lateSubmissionWriteDoesNotReviveWithdrawnJob() {
    outcome = FaultyStore.CommitOutcome.DELAYED;
    assertThat(code(ask(simpleSubmission()))).isEqualTo(503);
    assertThat(code(ask(QUERY))).isEqualTo(404);
    outcome = FaultyStore.CommitOutcome.APPLIED;
    assertThat(code(ask(simpleSubmission()))).isEqualTo(201);
    assertThat(state(ask(WITHDRAW))).isEqualTo(Response.JobState.CANCELLED);
    store.applyDelayed(0);
    assertThat(state(ask(simpleSubmission()))).isEqualTo(Response.JobState.CANCELLED);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.CANCELLED);
  }

  @Test
  void withdrawalWithLostAnswerIsUnavailableUntilKnown() {
    assertThat(code(ask(simpleSubmission()))).isEqualTo(201);
    outcome = FaultyStore.CommitOutcome.DELAYED;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    outcome = FaultyStore.CommitOutcome.REFUSED;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    outcome = FaultyStore.CommitOutcome.ANSWER_LOST;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    assertThat(state(ask(WITHDRAW))).isEqualTo(Response.JobState.CANCELLED);
    store.applyDelayed(0);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.CANCELLED);
  }

  @Test
  void lateWithdrawalWriteDoesNotOverwriteDoneState() {
    assertThat(code(ask(simpleSubmission()))).isEqualTo(201);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    outcome = FaultyStore.CommitOutcome.DELAYED;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.DONE);
    store.applyDelayed(0);
    assertThat(state(ask(WITHDRAW))).isEqualTo(Response.JobState.DONE);
    assertThat(state(ask(simpleSubmission()))).isEqualTo(Response.JobState.DONE);
  }

  /** A final state in a forwarded answer must be applied here before the user learns of it. */
  @ParameterizedTest
  @CsvSource({"CANCELLED, WITHDRAWN", "DONE, DONE"})
  void forwardedFinalStateIsAppliedBeforeItIsAnswered(
      Response.JobState finalState, JobRecord.Phase phase) {
    assertThat(code(ask(simpleSubmission()))).isEqualTo(201);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    observedPhases.clear();
    Response answer = new Response.JobStatus(false, JOB, finalState, 0, 0);
    assertThat(userRequests.resolveForwarded(answer, UNAVAILABLE)).isEqualTo(answer);
    assertThat(observedPhases).containsExactly(phase);
    // The state is final now: it is answered without a read, and older answers are replaced.
    Response older = new Response.JobStatus(false, JOB, Response.JobState.RUNNING, 0, 1);
    assertThat(state(userRequests.resolveForwarded(older, UNAVAILABLE))).isEqualTo(finalState);
    assertThat(state(ask(QUERY))).isEqualTo(finalState);
  }

  /**
   * The open job's record reaches this node's copy only after the answer that the job has ended.
   */
  @ParameterizedTest
  @CsvSource({"CANCELLED, WITHDRAWN", "DONE, DONE"})
  void forwardedFinalStateAppliesToJobLoadedLater(
      Response.JobState finalState, JobRecord.Phase phase) {
    Response answer = new Response.JobStatus(false, JOB, finalState, 0, 0);
    assertThat(userRequests.resolveForwarded(answer, UNAVAILABLE)).isEqualTo(answer);
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(state(ask(QUERY))).isEqualTo(finalState);
    ArrayJobs.storeRecord(store, JOB.value(), 2, phase);
    assertThat(state(ask(simpleSubmission()))).isEqualTo(finalState);
    assertThat(observedPhases).doesNotContain(JobRecord.Phase.OPEN);
    assertThat(view.openJobs().total()).isZero();
  }

  /** A final state that can't be remembered until the copy shows it must not be answered. */
  @Test
  void forwardedFinalStateBeyondCapacityIsNotAnswered() {
    for (int i = 0; i < StoreView.MAX_LEARNED_ENDS; i++) {
      JobId job = new JobId("j-" + (100 + i));
      Response answer = new Response.JobStatus(false, job, Response.JobState.CANCELLED, 0, 0);
      assertThat(userRequests.resolveForwarded(answer, UNAVAILABLE)).isEqualTo(answer);
    }
    Response last = new Response.JobStatus(false, JOB, Response.JobState.CANCELLED, 0, 0);
    assertThat(userRequests.resolveForwarded(last, UNAVAILABLE)).isEqualTo(UNAVAILABLE);
  }

  /**
   * The leader on this node must know a confirmed withdrawal, so that it starts no task after it.
   */
  @Test
  void confirmedWithdrawalIsAppliedBeforeItIsAnswered() {
    assertThat(code(ask(simpleSubmission()))).isEqualTo(201);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    now = now.plus(TimeSpan.seconds(1));
    userRequests.setTime(now, new WallTime(0));
    observedPhases.clear();
    List<JobRecord.Phase> before = new ArrayList<>();
    userRequests.serve(WITHDRAW, answer -> before.addAll(observedPhases));
    store.serve(outbox, commit -> outcome);
    assertThat(before).containsExactly(JobRecord.Phase.WITHDRAWN);
  }
}
