package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;

/** Encodes and decodes messages between controllers, as CBOR. */
public final class PeerCodec {
  public static final String PEER_PATH = "/peer";

  private PeerCodec() {}

  public static byte[] encode(PeerMessage message) {
    ObjectNode map = BinaryEncoding.newMap();
    if (message instanceof PeerMessage.Digest digest) {
      map.put("sort", "digest");
      map.put("from", digest.from().value());
      map.put("token", digest.token().value());
      map.put("serves", digest.reachesStateService());
      ObjectNode counts = map.putObject("counts");
      digest
          .counts()
          .forEach(
              (id, count) -> counts.putArray(id.value()).add(count.done()).add(count.running()));
      ArrayNode suspects = map.putArray("suspects");
      digest.suspects().forEach(id -> suspects.add(id.value()));
    } else if (message instanceof PeerMessage.Acknowledgement acknowledgement) {
      map.put("sort", "acknowledged");
      map.put("from", acknowledgement.from().value());
      map.put("settled", acknowledgement.relinquished());
    } else if (message instanceof PeerMessage.Probe probe) {
      map.put("sort", "probe");
      map.put("from", probe.from().value());
    } else if (message instanceof PeerMessage.ForwardReport forwardReport) {
      map.put("sort", "carry");
      WorkerCodec.write(map, forwardReport.report());
    } else if (message instanceof PeerMessage.ForwardedReportOrders reply) {
      map.put("sort", "carried");
      reply.token().ifPresent(token -> map.put("token", token.value()));
      WorkerCodec.write(map, reply.orders());
    } else if (message instanceof PeerMessage.ForwardUserRequest forward) {
      map.put("sort", "forward");
      request(forward.request(), map);
    } else if (message instanceof PeerMessage.ForwardedResponse forwarded) {
      map.put("sort", "forwarded");
      response(forwarded.response(), map);
    }
    return BinaryEncoding.encodeCbor(map);
  }

  public static PeerMessage decode(byte[] body) throws MalformedMessageException {
    ObjectNode map = BinaryEncoding.decodeCborMap(body);
    FieldReader fields = new FieldReader(map);
    String sort = fields.text("sort");
    return switch (sort) {
      case "digest" ->
          new PeerMessage.Digest(
              new NodeId(fields.text("from")),
              new Token(fields.count("token")),
              fields.bool("serves"),
              counts(fields.get("counts")),
              suspects(fields));
      case "acknowledged" ->
          new PeerMessage.Acknowledgement(new NodeId(fields.text("from")), fields.bool("settled"));
      case "probe" -> new PeerMessage.Probe(new NodeId(fields.text("from")));
      case "carry" -> new PeerMessage.ForwardReport(WorkerCodec.report(fields));
      case "carried" ->
          new PeerMessage.ForwardedReportOrders(
              fields.has("token")
                  ? Optional.of(new Token(fields.count("token")))
                  : Optional.empty(),
              WorkerCodec.orders(fields));
      case "forward" -> new PeerMessage.ForwardUserRequest(request(fields));
      case "forwarded" -> new PeerMessage.ForwardedResponse(response(fields));
      default -> throw new MalformedMessageException("message of unknown sort " + sort);
    };
  }

  /** Converts the HTTP response of a peer to an answer. */
  static Answer answer(int status, byte[] body) throws MalformedMessageException {
    return status == 200
        ? new Answer.PeerReply(decode(body))
        : new Answer.Refused(status, "peer refused");
  }

  private static Map<JobId, PeerMessage.TaskCounts> counts(JsonNode node)
      throws MalformedMessageException {
    if (!node.isObject()) {
      throw new MalformedMessageException("counts are malformed");
    }
    Map<JobId, PeerMessage.TaskCounts> counts = new HashMap<>();
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      JsonNode pair = field.getValue();
      if (!JobId.isWellFormed(field.getKey())
          || !pair.isArray()
          || pair.size() != 2
          || !isCount(pair.get(0))
          || !isCount(pair.get(1))) {
        throw new MalformedMessageException("counts are malformed");
      }
      counts.put(
          new JobId(field.getKey()),
          new PeerMessage.TaskCounts(pair.get(0).asInt(), pair.get(1).asInt()));
    }
    return counts;
  }

  private static boolean isCount(JsonNode node) {
    return node.isIntegralNumber() && node.canConvertToInt() && node.intValue() >= 0;
  }

  private static Set<JobId> suspects(FieldReader fields) throws MalformedMessageException {
    Set<JobId> suspects = new HashSet<>();
    if (fields.has("suspects")) {
      for (JsonNode id : fields.list("suspects")) {
        if (JobId.isWellFormed(id.asText())) {
          suspects.add(new JobId(id.asText()));
        }
      }
    }
    return suspects;
  }

  private static void request(UserRequest request, ObjectNode map) {
    map.put("job", request.job().value());
    if (request instanceof UserRequest.Submit submit) {
      map.put("ask", "submit");
      map.put("problem", submit.problem());
      submit.spec().ifPresent(spec -> JobCodec.encode(spec, map.putObject("spec")));
    } else {
      map.put("ask", request instanceof UserRequest.Query ? "query" : "withdraw");
    }
  }

  private static UserRequest request(FieldReader fields) throws MalformedMessageException {
    if (!JobId.isWellFormed(fields.text("job"))) {
      throw new MalformedMessageException("field job is malformed");
    }
    JobId job = new JobId(fields.text("job"));
    String ask = fields.text("ask");
    return switch (ask) {
      case "query" -> new UserRequest.Query(job);
      case "withdraw" -> new UserRequest.Withdraw(job);
      case "submit" ->
          new UserRequest.Submit(
              job,
              fields.has("spec")
                  ? Optional.of(JobCodec.decode(fields.map("spec")))
                  : Optional.empty(),
              fields.text("problem"));
      default -> throw new MalformedMessageException("unknown request " + ask);
    };
  }

  private static void response(Response response, ObjectNode map) {
    if (response instanceof Response.JobStatus status) {
      map.put("created", status.created());
      map.put("job", status.job().value());
      map.put("state", status.state().name());
      map.put("done", status.done());
      map.put("running", status.running());
    } else if (response instanceof Response.Problem problem) {
      map.put("status", problem.status());
      map.put("reason", problem.reason());
      problem.retryAfter().ifPresent(span -> map.put("retry_ms", span.millis()));
    } else {
      throw new IllegalArgumentException("not a response to a user: " + response);
    }
  }

  private static Response response(FieldReader fields) throws MalformedMessageException {
    if (fields.has("status")) {
      return new Response.Problem(
          (int) fields.count("status", 400, 599),
          fields.text("reason"),
          fields.has("retry_ms")
              ? Optional.of(TimeSpan.millis(fields.count("retry_ms")))
              : Optional.empty());
    }
    for (Response.JobState state : Response.JobState.values()) {
      if (state.name().equals(fields.text("state"))) {
        return new Response.JobStatus(
            fields.bool("created"),
            new JobId(fields.text("job")),
            state,
            (int) fields.count("done", 0, Integer.MAX_VALUE),
            (int) fields.count("running", 0, Integer.MAX_VALUE));
      }
    }
    throw new MalformedMessageException("unknown state");
  }
}
