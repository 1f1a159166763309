package org.oakwalk.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;

/** Users' requests and the answers to them. */
public final class UserCodec {
  public static final String JOBS_PATH = "/v2/runs";
  public static final String WITHDRAW = "withdraw";
  public static final String READY_PATH = "/ready";

  private static final Map<Response.JobState, String> STATES =
      Map.of(
          Response.JobState.QUEUED, "pending",
          Response.JobState.RUNNING, "running",
          Response.JobState.DONE, "done",
          Response.JobState.CANCELLED, "withdrawn");

  private UserCodec() {}

  /**
   * Reads a submission. One that is malformed but names its job still becomes a request, since the
   * job may be known already.
   */
  public static UserRequest.Submit decodeSubmission(byte[] body) throws MalformedMessageException {
    FieldReader fields = new FieldReader(BinaryEncoding.decodeMessagePackMap(body));
    JobId id = JobCodec.id(fields);
    try {
      return new UserRequest.Submit(id, Optional.of(JobCodec.decode(fields)), "");
    } catch (MalformedMessageException e) {
      return new UserRequest.Submit(id, Optional.empty(), e.getMessage());
    }
  }

  /** A job's state, as users read it. */
  public static byte[] encodeStatus(Response.JobStatus status) {
    ObjectNode map = BinaryEncoding.newMap();
    map.put(JobCodec.ID_FIELD, status.job().value());
    map.put("status", STATES.get(status.state()));
    map.put("done", status.done());
    map.put("running", status.running());
    return BinaryEncoding.encodeMessagePack(map);
  }

  /** The reason of a refusal. */
  public static byte[] encodeError(String reason) {
    return BinaryEncoding.encodeMessagePack(BinaryEncoding.newMap().put("error", reason));
  }
}
