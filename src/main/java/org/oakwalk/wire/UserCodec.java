package org.oakwalk.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;

/** Decodes users' requests and encodes the responses to them. */
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
   * Decodes a submission. A malformed one with a valid job ID still becomes a request, without a
   * specification, since the job may already be known.
   */
  public static UserRequest.Submit decodeSubmission(byte[] body) throws MalformedMessageException {
    FieldReader fields = new FieldReader(BinaryEncoding.decodeMessagePackMap(body));
    JobId id = JobCodec.id(fields);
    try {
      return new UserRequest.Submit(id, Optional.of(JobCodec.decode(fields)), "");
    } catch (MalformedMessageException malformed) {
      return new UserRequest.Submit(id, Optional.empty(), malformed.getMessage());
    }
  }

  /** Encodes a job's status for users. */
  public static byte[] encodeStatus(Response.JobStatus status) {
    ObjectNode map = BinaryEncoding.newMap();
    map.put(JobCodec.ID_FIELD, status.job().value());
    map.put("status", STATES.get(status.state()));
    map.put("done", status.done());
    map.put("running", status.running());
    return BinaryEncoding.encodeMessagePack(map);
  }

  /** Encodes the reason for which a request was refused. */
  public static byte[] encodeError(String reason) {
    return BinaryEncoding.encodeMessagePack(BinaryEncoding.newMap().put("error", reason));
  }
}
