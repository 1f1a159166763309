import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Users of the protocol page, with the load balancer's choice among healthy controllers. */
final class Users {
  private final World world;
  private final Record record;
  private int turn;

  Users(World world, Record record) {
    this.world = world;
    this.record = record;
  }

  /** A submission as on the protocol page; callers change fields before they send it. */
  static ObjectNode job(String ref, String team, String shape, int pieces, double guessS) {
    ObjectNode body = Wire.map().put("ref", ref).put("jobclass", "foto-resize").put("crew", team);
    body.put("shape", shape).put("urgency", shape.equals("daemon") ? "high" : "standard");
    body.put("pieces", pieces).put("vcpus", 1.0).put("accelerators", 0.0).put("memory_gb", 1.7);
    body.put("bundle", "img-07").put("size_gb", 0.2).putNull("flavors").putNull("region");
    body.put("same_place", false).put("spread", false).put("leftovers", true);
    body.put("guess_s", guessS).put("snapshot_every_s", 0.0).put("snapshot_s", 0.0);
    return body.putNull("due_s");
  }

  /** Uploads a job for the workers and submits it at one controller, once. */
  Wire.Answer submitAt(int controller, JsonNode body, double runS) {
    String ref = body.path("ref").asText();
    world.upload(
        ref,
        new World.Job(
            body.path("shape").asText(),
            body.path("vcpus").asDouble(),
            body.path("memory_gb").asDouble(),
            runS));
    return send("POST", controller, "/v2/runs", body, 5000);
  }

  Wire.Answer askAt(int controller, String ref) {
    return send("GET", controller, "/v2/runs/" + ref, null, 2000);
  }

  Wire.Answer withdrawAt(int controller, String ref) {
    return send("POST", controller, "/v2/runs/" + ref + "/withdraw", Wire.map(), 5000);
  }

  private Wire.Answer send(
      String method, int controller, String path, JsonNode body, long timeoutMs) {
    Wire.Answer answer =
        Wire.call(method, world.nodes().get(controller), path, body, timeoutMs);
    record.line(
        "user: %s %s%s at controller %d: %s %s",
        method,
        path,
        body != null && body.has("ref") ? " " + body.path("ref").asText() : "",
        controller,
        answer.status(),
        answer.body());
    return answer;
  }

  /** Submits until a final answer, for 60 s at most; returns the last answer. */
  Wire.Answer submit(JsonNode body, double runS) throws InterruptedException {
    double end = Record.seconds() + 60;
    while (true) {
      Wire.Answer answer = submitAt(next(), body, runS);
      if (List.of(200, 201, 400, 422).contains(answer.status()) || Record.seconds() > end) {
        return answer;
      }
      Thread.sleep(1000);
    }
  }

  /** Asks to cancel until a final answer, for a limited time. */
  Wire.Answer withdraw(String ref, double limitS) throws InterruptedException {
    double end = Record.seconds() + limitS;
    while (true) {
      Wire.Answer answer = withdrawAt(next(), ref);
      if (answer.status() == 200 || Record.seconds() > end) {
        return answer;
      }
      Thread.sleep(1000);
    }
  }

  /** Asks until the job has this status, for a limited time; returns whether it had. */
  boolean awaitStatus(String ref, String status, double limitS) throws InterruptedException {
    double end = Record.seconds() + limitS;
    while (Record.seconds() < end) {
      if (askAt(next(), ref).text("status").equals(status)) {
        return true;
      }
      Thread.sleep(1000);
    }
    return false;
  }

  /** Chooses the next controller that is ready. */
  private synchronized int next() {
    for (int i = 0; i < world.nodes().size(); i++) {
      turn = (turn + 1) % world.nodes().size();
      if (Wire.call("GET", world.nodes().get(turn), "/ready", null, 1000).status() == 200) {
        return turn;
      }
    }
    return turn;
  }
}
