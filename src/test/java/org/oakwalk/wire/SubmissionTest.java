package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.port.UserRequest;

/** Tests that submissions with missing fields, wrong types or values out of range are rejected. */
class SubmissionTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  private static final String JOB =
      """
      {"ref":"j-000412","jobclass":"train","crew":"vision","shape":"sweep","urgency":"high",
       "pieces":16,"vcpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img-07","size_gb":6.2,
       "flavors":["g8"],"region":null,"same_place":true,"spread":false,"leftovers":true,
       "guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0}
      """;

  /** Each required field: the problem names it if it is missing, null, mistyped or out of range. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "jobclass | \"x\" | [7, true, \"\", [], {}]",
        "crew | \"x\" | [7, true, \"\", [], {}]",
        "shape | \"daemon\" | [7, true, \"\", \"SWEEP\", [], {}]",
        "urgency | \"best_effort\" | [7, true, \"\", \"low\", [], {}]",
        "pieces | 100000 | [0, -1, 100001, 1.5, 1e3, \"1\", true, [], 4294967297, 1e30]",
        "vcpus | 0 | [-0.001, 1.1e9, \"1\", true, [], {}]",
        "accelerators | 1000000000 | [-1, 1000000001, \"1\", false, []]",
        "memory_gb | 0.5 | [-1, 1e300, \"1\", true, [], {}]",
        "bundle | \"x\" | [7, true, \"\", [], {}]",
        "size_gb | 0 | [-1, \"1\", true, []]",
        "same_place | false | [0, 1, \"true\", [], {}]",
        "spread | true | [0, 1, \"true\", [], {}]",
        "leftovers | true | [0, 1, \"true\", [], {}]",
        "guess_s | 0 | [-1, \"1\", true, [], 1.1e9]",
        "snapshot_every_s | 0 | [-1, \"1\", true, []]",
        "snapshot_s | 0 | [-1, \"1\", true, []]"
      })
  void missingOrInvalidRequiredFieldIsNamed(String field, String good, String bad)
      throws Exception {
    ObjectNode job = (ObjectNode) JSON.readTree(JOB);
    job.set(field, JSON.readTree(good));
    assertThat(UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(job)).spec())
        .isPresent();
    List<ObjectNode> malformedJobs = new ArrayList<>();
    malformedJobs.add(job.deepCopy().without(field));
    malformedJobs.add(job.deepCopy().putNull(field));
    for (JsonNode value : JSON.readTree(bad)) {
      malformedJobs.add(job.deepCopy().set(field, value));
    }
    for (ObjectNode each : malformedJobs) {
      UserRequest.Submit request =
          UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(each));
      assertThat(request.spec()).as(each.toString()).isEmpty();
      assertThat(request.problem()).contains(field);
    }
  }

  /** Each optional field may be null or missing, but is rejected if mistyped or out of range. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "flavors | [\"g8\", \"x\"] | [7, true, \"g8\", [], [7], [null], {}]",
        "region | \"a\" | [7, true, \"\", [], {}]",
        "due_s | 0 | [-1, \"1\", true, [], {}]"
      })
  void optionalFieldMayBeNullOrMissing(String field, String good, String bad) throws Exception {
    ObjectNode job = (ObjectNode) JSON.readTree(JOB);
    for (ObjectNode each :
        List.<ObjectNode>of(
            job.deepCopy().without(field),
            job.deepCopy().putNull(field),
            job.deepCopy().set(field, JSON.readTree(good)))) {
      assertThat(UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(each)).spec())
          .isPresent();
    }
    for (JsonNode value : JSON.readTree(bad)) {
      job.set(field, value);
      UserRequest.Submit request =
          UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(job));
      assertThat(request.spec()).as(job.toString()).isEmpty();
      assertThat(request.problem()).contains(field);
    }
  }

  /** Without a valid job ID, the job can't be looked up, and the whole message is malformed. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {"null", "7", "true", "\"\"", "\"j-\"", "\"J-1\"", "\"j-1/0\"", "\"j-1 \"", "[]"})
  void submissionWithInvalidIdIsMalformed(String id) throws Exception {
    ObjectNode job = (ObjectNode) JSON.readTree(JOB);
    job.set("ref", JSON.readTree(id));
    assertThatThrownBy(() -> UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(job)))
        .isInstanceOf(MalformedMessageException.class)
        .hasMessageContaining("ref");
    job.remove("ref");
    assertThatThrownBy(() -> UserCodec.decodeSubmission(BinaryEncoding.encodeMessagePack(job)))
        .isInstanceOf(MalformedMessageException.class);
  }
}
