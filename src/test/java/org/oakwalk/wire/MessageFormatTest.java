package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.RentalRequestId;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoredValue;

/** Tests the format of messages against literal bytes and the examples of the protocols. */
class MessageFormatTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final TaskId TASK = new TaskId(new JobId("j-000412"), 4);

  private static final String JOB =
      """
      {"ref":"j-000412","jobclass":"train","crew":"vision","shape":"sweep","urgency":"high",
       "pieces":16,"vcpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img-07","size_gb":6.2,
       "flavors":["g8"],"region":null,"same_place":true,"spread":false,"leftovers":true,
       "guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"unknown":[1]}
      """;

  private static byte[] packed(String json) throws Exception {
    return BinaryEncoding.encodeMessagePack(JSON.readTree(json));
  }

  private static String json(byte[] bytes) throws Exception {
    return BinaryEncoding.decodeMessagePackMap(bytes).toString();
  }

  private static JobSpec spec() throws Exception {
    return UserCodec.decodeSubmission(packed(JOB)).spec().orElseThrow();
  }

  @Test
  void ordersMatchReferenceBytes() {
    byte[] bytes =
        WorkerCodec.orders(
            new Token(41), List.of(new Order.Halt(TASK, new Attempt(2), TimeSpan.seconds(10))));
    String literal =
        "82" // a map of two
            + "a56261746f6e29" // baton 41
            + "a66f726465727391" // orders: a list of one
            + "84" // a map of four
            + "a476657262a468616c74" // verb halt
            + "a57069656365aa6a2d3030303431322f34" // piece j-000412/4
            + "a374727902" // try 2
            + "ab77696e645f646f776e5f73cb4024000000000000"; // wind_down_s 10.0
    assertThat(HexFormat.of().formatHex(bytes)).isEqualTo(literal);
  }

  @Test
  void workerReportIsDecoded() throws Exception {
    Report report =
        WorkerCodec.report(
            packed(
                """
                {"host":"host-000231","addr":"10.1.0.232:9000","flavor":"g8","region":"a",
                 "leftovers":true,"shift":1,"tick":88,"baton":41,"warning_s":null,
                 "pieces":[{"piece":"j-000412/3","try":2,"status":"running"},
                           {"piece":"j-000398/0","try":1,"status":"ended","cause":"done"},
                           {"piece":"j-000398/1","try":1,"status":"ended","cause":"new kind"}]}
                """));
    assertThat(report.machine()).isEqualTo(new MachineId("host-000231"));
    assertThat(report.session()).isEqualTo(new SessionId(1));
    assertThat(report.reclaimNotice()).isEmpty();
    assertThat(report.tasks())
        .extracting(Report.ReportedTask::cause)
        .containsExactly(null, Report.Cause.DONE, Report.Cause.OTHER);
  }

  @Test
  void submittedJobSurvivesStorageRoundTrip() throws Exception {
    JobSpec spec = spec();
    assertThat(spec.zone()).isEmpty();
    assertThat(spec.deadline()).contains(TimeSpan.seconds(900));
    JobRecord record = new JobRecord(spec, JobRecord.Phase.OPEN, new WallTime(5));
    assertThat(StateServiceCodec.value(new FieldReader(StateServiceCodec.value(record))))
        .isEqualTo(record);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "pieces | 0",
        "pieces | 100001",
        "pieces | 2.5",
        "pieces | \"3\"",
        "vcpus | -1.0",
        "vcpus | \"8\"",
        "memory_gb | null",
        "shape | \"swarm\"",
        "urgency | 3",
        "same_place | 1",
        "bundle | \"\"",
        "flavors | \"g8\"",
        "flavors | [1]",
        "guess_s | -0.5",
        "due_s | \"soon\"",
        "crew | null"
      })
  void invalidFieldIsNamedInProblem(String field, String value) throws Exception {
    ObjectNode job = (ObjectNode) JSON.readTree(JOB);
    job.set(field, JSON.readTree(value));
    UserRequest.Submit request = UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(job));
    assertThat(request.spec()).isEmpty();
    assertThat(request.problem()).contains(field);
  }

  @Test
  void nanIsRejected() throws Exception {
    ObjectNode job = (ObjectNode) JSON.readTree(JOB);
    job.put("vcpus", Double.NaN);
    assertThat(UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(job)).spec()).isEmpty();
  }

  @Test
  void malformedMessagePackIsRejected() {
    for (String hex :
        List.of(
            "",
            "90",
            "c1",
            "a3",
            "82a16101",
            "8001",
            "93010203",
            "d9ff",
            "81a161c6ffffffff",
            "81a161c67fffffff",
            "81a161c97fffffff01")) {
      assertThatThrownBy(() -> UserCodec.decodeSubmission(HexFormat.of().parseHex(hex)))
          .as(hex)
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThatThrownBy(() -> UserCodec.decodeSubmission(packed("{\"ref\":\"job-1\"}")))
        .hasMessageContaining("ref");
  }

  @Test
  void corruptedBytesOnlyCauseMalformedMessageException() throws Exception {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
    byte[] submission = packed(JOB);
    byte[] peer = PeerCodec.encode(digest());
    for (int i = 0; i < 4_000; i++) {
      byte[] corrupted = (i % 2 == 0 ? submission : peer).clone();
      for (int k = 1 + random.nextInt(4); k > 0; k--) {
        corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
      }
      try {
        if (i % 2 == 0) {
          UserCodec.decodeSubmission(corrupted);
          WorkerCodec.report(corrupted);
        } else {
          PeerCodec.decode(corrupted);
        }
      } catch (MalformedMessageException expected) {
        assertThat(expected.getMessage()).isNotBlank();
      }
    }
  }

  private static Report report() {
    return new Report(
        new MachineId("host-000231"),
        "10.1.0.232:9000",
        "g8",
        "a",
        true,
        new SessionId(2),
        88,
        new Token(41),
        Optional.of(TimeSpan.millis(1500)),
        List.of(
            new Report.ReportedTask(
                new TaskId(new JobId("j-1"), 3), new Attempt(2), Report.TaskState.RUNNING, null),
            new Report.ReportedTask(
                new TaskId(new JobId("j-2"), 0),
                new Attempt(1),
                Report.TaskState.ENDED,
                Report.Cause.NO_ROOM)));
  }

  private static PeerMessage.Digest digest() {
    return new PeerMessage.Digest(
        new NodeId("n"),
        new Token(3),
        true,
        Map.of(new JobId("j-1"), new PeerMessage.TaskCounts(2, 5)),
        Set.of(new JobId("j-2")));
  }

  @Test
  void peerMessagesSurviveRoundTrip() throws Exception {
    List<PeerMessage> messages =
        List.of(
            digest(),
            new PeerMessage.Acknowledgement(new NodeId("n"), true),
            new PeerMessage.ForwardReport(report()),
            new PeerMessage.ForwardedReportOrders(Optional.empty(), List.of()),
            new PeerMessage.ForwardedReportOrders(
                Optional.of(new Token(41)),
                List.of(
                    new Order.Run(new TaskId(new JobId("j-1"), 4), new Attempt(2)),
                    new Order.Halt(
                        new TaskId(new JobId("j-1"), 1), new Attempt(1), TimeSpan.seconds(10)),
                    new Order.Clear(new TaskId(new JobId("j-1"), 0), new Attempt(1)))),
            new PeerMessage.ForwardUserRequest(new UserRequest.Query(new JobId("j-1"))),
            new PeerMessage.ForwardUserRequest(new UserRequest.Withdraw(new JobId("j-1"))),
            new PeerMessage.ForwardUserRequest(
                new UserRequest.Submit(new JobId("j-000412"), Optional.of(spec()), "")),
            new PeerMessage.ForwardedResponse(Response.unavailable("later", TimeSpan.seconds(1))),
            new PeerMessage.ForwardedResponse(
                new Response.JobStatus(true, new JobId("j-1"), Response.JobState.RUNNING, 1, 2)));
    for (PeerMessage message : messages) {
      assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
    }
  }

  @Test
  void unreadableRecordDoesNotHideOthers() throws Exception {
    StoredValue.MachineTypesRecord types =
        new StoredValue.MachineTypesRecord(
            Map.of(
                "g8",
                new MachineType(
                    "g8",
                    Resources.ofMachine(96, 8, 768),
                    200,
                    1,
                    12,
                    4.5,
                    TimeSpan.seconds(45),
                    List.of("a", "b"))));
    ObjectNode page = BinaryEncoding.newMap();
    ArrayNode entries = page.putArray("entries");
    entries.addObject().put("k", "x").put("stamp", 4).putObject("value").put("sort", "of later");
    entries.addObject().put("k", "y").put("stamp", 5).putObject("value").put("sort", "job");
    entries.addObject().put("k", "z").put("stamp", 6).set("value", StateServiceCodec.value(types));
    page.put("more", false).put("epoch", 9);
    Answer.Page read =
        (Answer.Page)
            StateServiceCodec.decode(
                new Request.ReadPage("", Optional.empty(), Request.Urgency.ROUTINE),
                200,
                BinaryEncoding.encodeMessagePack(page));
    assertThat(read.entries()).hasSize(3);
    assertThat(read.entries().get(0).value()).isInstanceOf(StoredValue.Unreadable.class);
    assertThat(read.entries().get(1).value()).isInstanceOf(StoredValue.Unreadable.class);
    assertThat(read.entries().get(2).value()).isEqualTo(types);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "baton | -1",
        "baton | 9223372036854775808",
        "baton | 18446744073709551615",
        "baton | 2.5",
        "shift | -1",
        "tick | -1",
        "tick | \"88\"",
        "warning_s | -1.0",
        "warning_s | 1e12",
        "pieces | {}",
        "pieces | [7]",
        "pieces | [{\"piece\":\"j-1/-3\",\"try\":1,\"status\":\"running\"}]",
        "pieces | [{\"piece\":\"j-1/99999999\",\"try\":1,\"status\":\"running\"}]",
        "pieces | [{\"piece\":\"j-1/3\",\"try\":-1,\"status\":\"running\"}]",
        "pieces | [{\"piece\":\"j-1/3\",\"try\":1,\"status\":\"asleep\"}]",
        "host | \"\"",
        "leftovers | 1"
      })
  void invalidWorkerReportIsRejected(String field, String value) throws Exception {
    ObjectNode report =
        (ObjectNode)
            JSON.readTree(
                """
                {"host":"host-1","addr":"10.1.0.232:9000","flavor":"g8","region":"a",
                 "leftovers":true,"shift":1,"tick":88,"baton":41,"pieces":[]}
                """);
    assertThat(WorkerCodec.report(BinaryEncoding.encodeMessagePack(report)).sequence())
        .isEqualTo(88);
    report.set(field, JSON.readTree(value));
    assertThatThrownBy(() -> WorkerCodec.report(BinaryEncoding.encodeMessagePack(report)))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void invalidPeerCountsAreRejected() throws Exception {
    for (String counts : List.of("[-1,2]", "[1,-2]", "[1,4294967298]", "[\"1\",2]", "[1]", "3")) {
      ObjectNode map = BinaryEncoding.decodeCborMap(PeerCodec.encode(digest()));
      map.putObject("counts").set("j-1", JSON.readTree(counts));
      assertThatThrownBy(() -> PeerCodec.decode(BinaryEncoding.encodeCbor(map)))
          .as(counts)
          .isInstanceOf(MalformedMessageException.class);
    }
    ObjectNode map = BinaryEncoding.decodeCborMap(PeerCodec.encode(digest()));
    map.put("counts", 3);
    assertThatThrownBy(() -> PeerCodec.decode(BinaryEncoding.encodeCbor(map)))
        .isInstanceOf(MalformedMessageException.class);
  }

  /** An invalid value must not prevent other entries of the same response from being read. */
  @Test
  void invalidStoredValueDoesNotFailPage() throws Exception {
    JobRecord record = new JobRecord(spec(), JobRecord.Phase.OPEN, new WallTime(5));
    List<StoredValue> validValues =
        List.of(
            record,
            new StoredValue.LeaderRecord(new NodeId("n"), "a", "x"),
            new StoredValue.RelayRecord("a", new Token(4)),
            new StoredValue.MachineRecord(new MachineId("h"), "1", "g8", "a", true),
            new StoredValue.MachineListRecord(
                List.of(new StoredValue.MachineRecord(new MachineId("h"), "1", "g8", "a", true))),
            new StoredValue.StopsRecord(Map.of()));
    List<String> invalidFields =
        List.of("null", "-1", "18446744073709551615", "1e300", "\"\"", "[]", "[null]", "{}");
    for (StoredValue value : validValues) {
      ObjectNode map = StateServiceCodec.value(value);
      List<String> names = new java.util.ArrayList<>();
      map.fieldNames().forEachRemaining(names::add);
      for (String name : names) {
        for (String invalidField : invalidFields) {
          ObjectNode invalid = map.deepCopy();
          invalid.set(name, JSON.readTree(invalidField));
          ObjectNode page = BinaryEncoding.newMap();
          ArrayNode entries = page.putArray("entries");
          entries.addObject().put("k", "x").put("stamp", 4).set("value", invalid);
          entries
              .addObject()
              .put("k", "y")
              .put("stamp", 5)
              .set("value", StateServiceCodec.value(record));
          page.put("more", false).put("epoch", 9);
          Answer.Page read =
              (Answer.Page)
                  StateServiceCodec.decode(
                      new Request.ReadPage("", Optional.empty(), Request.Urgency.ROUTINE),
                      200,
                      BinaryEncoding.encodeMessagePack(page));
          assertThat(read.entries().get(1).value()).as(invalid.toString()).isEqualTo(record);
        }
      }
    }
  }

  @Test
  void machinesAreDecodedFromBothFormats() throws Exception {
    StoredValue.MachineRecord machine =
        new StoredValue.MachineRecord(new MachineId("host-1"), "10.1.0.1:9000", "g8", "a", true);
    String single =
        "{\"sort\":\"machine\",\"id\":\"host-1\",\"address\":\"10.1.0.1:9000\","
            + "\"type\":\"g8\",\"zone\":\"a\",\"spot\":true}";
    String list =
        "{\"sort\":\"machines\",\"machines\":[[\"host-1\",\"10.1.0.1:9000\",\"g8\",\"a\",true]]}";
    StoredValue.MachineListRecord record = new StoredValue.MachineListRecord(List.of(machine));
    assertThat(StateServiceCodec.value(FieldReader.ofMap(JSON.readTree(single))))
        .isEqualTo(machine);
    assertThat(StateServiceCodec.value(FieldReader.ofMap(JSON.readTree(list)))).isEqualTo(record);
    assertThat(StateServiceCodec.value(record).toString()).isEqualTo(list);
    assertThatThrownBy(
            () ->
                StateServiceCodec.value(
                    FieldReader.ofMap(JSON.readTree(list.replace("true", "\"yes\"")))))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void stateServiceRequestsMatchProtocol() throws Exception {
    OutgoingRequest commit =
        StateServiceCodec.encode(
            new Request.Commit(
                List.of(new Guard("a/b", new Revision(0))),
                List.of(
                    new Change.Put(
                        "a/b",
                        new StoredValue.LeaderRecord(new NodeId("n"), "a", "x"),
                        Optional.of(new LeaseId(7))),
                    new Change.Remove("c/d")),
                Request.Urgency.ROUTINE));
    assertThat(commit.path()).isEqualTo("/commit");
    assertThat(json(commit.body()))
        .isEqualTo(
            "{\"guards\":[{\"k\":\"a/b\",\"stamp\":0}],\"then\":[{\"set\":\"a/b\","
                + "\"value\":{\"sort\":\"leader\",\"node\":\"n\",\"zone\":\"a\",\"incarnation\":\"x\"},\"hold\":7},"
                + "{\"delete\":\"c/d\"}]}");
    Request.Watch watch =
        new Request.Watch("c/", new Revision(431), TimeSpan.seconds(10), Request.Urgency.ROUTINE);
    assertThat(StateServiceCodec.encode(watch).path())
        .isEqualTo("/watch?starts=c%2F&from=431&hold_ms=10000");
  }

  @Test
  void stateServiceResponsesAreDecoded() throws Exception {
    Request.Watch watch =
        new Request.Watch("c/", new Revision(1), TimeSpan.millis(0), Request.Urgency.ROUTINE);
    Answer answer =
        StateServiceCodec.decode(
            watch,
            200,
            packed(
                "{\"epoch\":433,\"news\":[{\"set\":\"c/9\",\"value\":{\"sort\":\"done\","
                    + "\"bits\":\"ff\"},\"stamp\":433},{\"delete\":\"c/d\",\"stamp\":432}]}"));
    assertThat(((Answer.Changes) answer).changes()).hasSize(2);
    assertThat(StateServiceCodec.decode(watch, 410, new byte[0]))
        .isEqualTo(new Answer.Refused(410, ""));
    assertThatThrownBy(
            () -> StateServiceCodec.decode(watch, 200, "no".getBytes(StandardCharsets.UTF_8)))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void cloudMessagesMatchProtocol() throws Exception {
    Request.RentMachines rent =
        new Request.RentMachines(new RentalRequestId("r-17"), "g8", "a", true, 12);
    assertThat(json(CloudCodec.encode(rent).body()))
        .isEqualTo(
            "{\"ask\":\"r-17\",\"flavor\":\"g8\",\"region\":\"a\",\"leftovers\":true,"
                + "\"number\":12}");
    Answer types =
        CloudCodec.decode(
            new Request.FetchCatalog(),
            200,
            packed(
                """
                {"flavors":[{"sku":"g8","vcpus":96,"accelerators":8,"memory_gb":768,
                 "cache_gb":200,"fetch_gb_per_s":1.0,"rate":12.0,"low_price":4.5,"startup_s":45,
                 "regions":["a","b"]}]}
                """));
    assertThat(((Answer.Catalog) types).types().get("g8").zones()).containsExactly("a", "b");
    Answer list =
        CloudCodec.decode(
            new Request.ListRentals(Optional.empty()),
            200,
            packed(
                """
                {"hosts":[{"ref":"host-000231","addr":"10.1.0.232:9000","flavor":"g8",
                 "region":"a","leftovers":true,"status":"running","held_s":61.5}],"more":false}
                """));
    assertThat(((Answer.Rentals) list).rentals().get(0).rentedFor())
        .isEqualTo(TimeSpan.millis(61500));
  }

  @Test
  void jobStatusUsesPublicStateNames() throws Exception {
    byte[] bytes =
        UserCodec.encodeStatus(
            new Response.JobStatus(
                false, new JobId("j-000412"), Response.JobState.CANCELLED, 3, 13));
    assertThat(json(bytes))
        .isEqualTo("{\"ref\":\"j-000412\",\"status\":\"withdrawn\",\"done\":3,\"running\":13}");
  }

  @Test
  void apiDocumentationExamplesAreValid() throws Exception {
    List<String> examples =
        Pattern.compile("```json\n(.*?)```", Pattern.DOTALL)
            .matcher(Files.readString(Path.of("docs/api.md")))
            .results()
            .map(match -> match.group(1))
            .toList();
    assertThat(examples).hasSize(2);
    UserRequest.Submit submission = UserCodec.decodeSubmission(packed(examples.get(0)));
    assertThat(submission.problem()).isEmpty();
    assertThat(submission.spec()).isPresent();
    byte[] status =
        UserCodec.encodeStatus(
            new Response.JobStatus(false, submission.job(), Response.JobState.RUNNING, 3, 13));
    assertThat(JSON.readTree(examples.get(1))).isEqualTo(JSON.readTree(json(status)));
  }
}
