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
import org.oakwalk.core.Moment;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.LateStore;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/** What users are told by one node, against a store that loses answers or is late. */
class UserRequestHandlerTest {
  private static final JobId JOB = new JobId("j-1");
  private static final UserRequest QUERY = new UserRequest.Query(JOB);
  private static final UserRequest WITHDRAW = new UserRequest.Withdraw(JOB);
  private static final UserRequest MALFORMED =
      new UserRequest.Submit(JOB, Optional.empty(), "field crew is missing");

  private static final Response UNAVAILABLE = Response.unavailable("out of reach", Span.seconds(1));

  private final LateStore store = new LateStore();
  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 1);
  private final Map<String, Settings.Team> teams =
      Map.of(
          "crew", new Settings.Team("crew", 0, 0, 0, 0),
          "small", new Settings.Team("small", 4, 8, 0, 2));
  private final UserRequestHandler userRequests =
      new UserRequestHandler(outbox, view, teams, new AdmissionControl(teams, view, 1000));
  private final List<JobRecord.Phase> seen = new ArrayList<>();
  private LateStore.Fate fate = LateStore.Fate.SERVED;
  private Moment now = new Moment(1000);

  @BeforeEach
  void load() {
    view.listen(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(Moment at) {}

          @Override
          public void jobChanged(KnownJob job, Moment at) {
            seen.add(job.phase());
          }
        });
    userRequests.machineTypes(
        Map.of(
            "m", type("m", new Resources(4, 0, 16), "a", "b"),
            "g", type("g", new Resources(8, 2, 32), "b")));
    view.tick(now);
    store.serve(outbox, commit -> fate);
  }

  private static MachineType type(String name, Resources room, String... zones) {
    return new MachineType(name, room, 50, 1, 1, 0.3, Span.seconds(20), List.of(zones));
  }

  /** Asks, and serves what the node asks of the store for it; the copy is not brought up before. */
  private Response ask(UserRequest request) {
    now = now.plus(Span.seconds(1));
    view.clock(now);
    userRequests.clock(now, new WallTime(0));
    List<Response> answers = new ArrayList<>();
    userRequests.serve(request, answers::add);
    store.serve(outbox, commit -> fate);
    for (int i = 0; i < 10 && answers.isEmpty(); i++) {
      now = now.plus(Span.millis(100));
      view.tick(now);
      store.serve(outbox, commit -> fate);
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

  private static UserRequest plain() {
    return submit(ArrayJobs.spec(JOB.value(), 2));
  }

  private static JobSpec spec(
      String shape, int tasks, double cpus, double gpus, double memory, String team, String bound) {
    Set<String> types = bound.contains("type:") ? Set.of(word(bound, "type:")) : Set.of();
    return new JobSpec(
        JOB,
        "class",
        team,
        JobSpec.Shape.valueOf(shape.toUpperCase(Locale.ROOT)),
        Priority.NORMAL,
        tasks,
        new Resources(cpus, gpus, memory),
        types,
        bound.contains("zone:") ? Optional.of(word(bound, "zone:")) : Optional.empty(),
        bound.contains("same"),
        bound.contains("spread"),
        true,
        "img",
        0,
        Span.seconds(1),
        Span.seconds(0),
        Span.seconds(0),
        Optional.empty());
  }

  private static String word(String text, String after) {
    return text.substring(text.indexOf(after) + after.length()).split(" ")[0];
  }

  @ParameterizedTest
  @CsvSource({
    // at the bounds of the largest machine that is allowed
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
    // teams and their limits
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
    // at most half of the tasks, rounded up, in one zone: all at once but for arrays
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
  void takesWhatCanRunAndNothingElse(
      String shape,
      int tasks,
      double cpus,
      double gpus,
      double memory,
      String team,
      String bound,
      int status) {
    UserRequest request = submit(spec(shape, tasks, cpus, gpus, memory, team, bound));
    assertThat(code(ask(request))).isEqualTo(status);
    assertThat(store.find(Keys.job(JOB)).isPresent()).isEqualTo(status == 201);
    // Repeated, it is known, or refused for the same reason.
    assertThat(code(ask(request))).isEqualTo(status == 201 ? 200 : status);
    assertThat(code(ask(QUERY))).isEqualTo(status == 201 ? 200 : 404);
  }

  @Test
  void refusesWhatLacksFieldsButTellsOfAJobThatIsKnown() {
    assertThat(code(ask(MALFORMED))).isEqualTo(400);
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(code(ask(MALFORMED))).isEqualTo(200);
    assertThat(code(ask(submit(spec("array", 1, 99, 0, 1, "nobody", "any"))))).isEqualTo(200);
    assertThat(code(ask(submit(spec("gang", 2, 1, 0, 1, "crew", "spread same"))))).isEqualTo(200);
  }

  @Test
  void withoutMachineTypesDecidesOnlyWhatNeedsNone() {
    userRequests.machineTypes(Map.of());
    assertThat(code(ask(plain()))).isEqualTo(503);
    assertThat(code(ask(MALFORMED))).isEqualTo(400);
    assertThat(code(ask(submit(spec("array", 1, 1, 0, 1, "nobody", "any"))))).isEqualTo(422);
    assertThat(store.find(Keys.job(JOB))).isEmpty();
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(code(ask(plain()))).isEqualTo(200);
  }

  @Test
  void ofARecordThatCannotBeReadNothingIsTold() {
    // In the first round the record is new to this node's copy, in the second the copy has it.
    store.put(Keys.job(JOB), new StoredValue.Unreadable("damaged"));
    for (int round = 0; round < 2; round++) {
      assertThat(code(ask(plain()))).isEqualTo(503);
      assertThat(code(ask(MALFORMED))).isEqualTo(503);
      assertThat(code(ask(submit(spec("array", 1, 1, 0, 1, "nobody", "any"))))).isEqualTo(503);
      assertThat(code(ask(submit(spec("array", 1, 99, 0, 1, "crew", "any"))))).isEqualTo(503);
      assertThat(code(ask(QUERY))).isEqualTo(503);
      assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    }
  }

  @Test
  void ofARecordThatCannotBeReadAnyMoreNothingOlderIsTold() {
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    store.put(Keys.job(JOB), new StoredValue.Unreadable("of a later version"));
    assertThat(code(ask(plain()))).isEqualTo(503);
    assertThat(code(ask(QUERY))).isEqualTo(503);
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    assertThat(code(ask(MALFORMED))).isEqualTo(503);
  }

  @Test
  void anAcceptanceWithoutAnAnswerIsNeitherPromisedNorDenied() {
    fate = LateStore.Fate.ANSWER_LOST;
    assertThat(code(ask(plain()))).isEqualTo(503);
    fate = LateStore.Fate.SERVED;
    assertThat(code(ask(plain()))).isEqualTo(200);
  }

  @Test
  void anAcceptanceCarriedOutLateIsFoundOrComesTooLate() {
    fate = LateStore.Fate.LATE;
    assertThat(code(ask(plain()))).isEqualTo(503);
    assertThat(code(ask(QUERY))).isEqualTo(404);
    fate = LateStore.Fate.SERVED;
    assertThat(code(ask(plain()))).isEqualTo(201);
    assertThat(state(ask(WITHDRAW))).isEqualTo(Response.JobState.CANCELLED);
    store.carryOut(0);
    assertThat(state(ask(plain()))).isEqualTo(Response.JobState.CANCELLED);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.CANCELLED);
  }

  @Test
  void aWithdrawalWithoutAnAnswerIsNeitherConfirmedNorDenied() {
    assertThat(code(ask(plain()))).isEqualTo(201);
    fate = LateStore.Fate.LATE;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    fate = LateStore.Fate.REFUSED;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    fate = LateStore.Fate.ANSWER_LOST;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    assertThat(state(ask(WITHDRAW))).isEqualTo(Response.JobState.CANCELLED);
    store.carryOut(0);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.CANCELLED);
  }

  @Test
  void aWithdrawalThatMeetsTheEndTellsTheEnd() {
    assertThat(code(ask(plain()))).isEqualTo(201);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    fate = LateStore.Fate.LATE;
    assertThat(code(ask(WITHDRAW))).isEqualTo(503);
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.DONE);
    store.carryOut(0);
    assertThat(state(ask(WITHDRAW))).isEqualTo(Response.JobState.DONE);
    assertThat(state(ask(plain()))).isEqualTo(Response.JobState.DONE);
  }

  /** What another controller answered for this node counts here before its user hears of it. */
  @ParameterizedTest
  @CsvSource({"CANCELLED, WITHDRAWN", "DONE, DONE"})
  void aForwardedEndIsKnownToThisNodeBeforeItsUser(Response.JobState told, JobRecord.Phase phase) {
    assertThat(code(ask(plain()))).isEqualTo(201);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    seen.clear();
    Response answer = new Response.JobStatus(false, JOB, told, 0, 0);
    assertThat(userRequests.resolveForwarded(answer, UNAVAILABLE)).isEqualTo(answer);
    assertThat(seen).containsExactly(phase);
    // Final now, so it is told without a read, and nothing older is passed on any more.
    Response older = new Response.JobStatus(false, JOB, Response.JobState.RUNNING, 0, 1);
    assertThat(state(userRequests.resolveForwarded(older, UNAVAILABLE))).isEqualTo(told);
    assertThat(state(ask(QUERY))).isEqualTo(told);
  }

  /** The record of the open job reaches this node's copy only after the answer that it is over. */
  @ParameterizedTest
  @CsvSource({"CANCELLED, WITHDRAWN", "DONE, DONE"})
  void aForwardedEndCountsForAJobThatTheCopyShowsLater(
      Response.JobState told, JobRecord.Phase phase) {
    Response answer = new Response.JobStatus(false, JOB, told, 0, 0);
    assertThat(userRequests.resolveForwarded(answer, UNAVAILABLE)).isEqualTo(answer);
    ArrayJobs.storeRecord(store, JOB.value(), 2, JobRecord.Phase.OPEN);
    assertThat(state(ask(QUERY))).isEqualTo(told);
    ArrayJobs.storeRecord(store, JOB.value(), 2, phase);
    assertThat(state(ask(plain()))).isEqualTo(told);
    assertThat(seen).doesNotContain(JobRecord.Phase.OPEN);
    assertThat(view.openJobs().all()).isZero();
  }

  /** What can't be kept in mind until the copy shows it is not told either. */
  @Test
  void aForwardedEndForWhichThereIsNoRoomIsNotPassedOn() {
    for (int i = 0; i < StoreView.MOST_LEARNED_ENDS; i++) {
      JobId job = new JobId("j-" + (100 + i));
      Response answer = new Response.JobStatus(false, job, Response.JobState.CANCELLED, 0, 0);
      assertThat(userRequests.resolveForwarded(answer, UNAVAILABLE)).isEqualTo(answer);
    }
    Response last = new Response.JobStatus(false, JOB, Response.JobState.CANCELLED, 0, 0);
    assertThat(userRequests.resolveForwarded(last, UNAVAILABLE)).isEqualTo(UNAVAILABLE);
  }

  /** What this node has told its own user, its leader must know: it may order no start after it. */
  @Test
  void aConfirmedWithdrawalIsKnownToThisNodeBeforeItsUser() {
    assertThat(code(ask(plain()))).isEqualTo(201);
    assertThat(state(ask(QUERY))).isEqualTo(Response.JobState.QUEUED);
    now = now.plus(Span.seconds(1));
    userRequests.clock(now, new WallTime(0));
    seen.clear();
    List<JobRecord.Phase> before = new ArrayList<>();
    userRequests.serve(WITHDRAW, answer -> before.addAll(seen));
    store.serve(outbox, commit -> fate);
    assertThat(before).containsExactly(JobRecord.Phase.WITHDRAWN);
  }
}
