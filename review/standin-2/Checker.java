import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The rules of PROTOCOL.md, by what workers do and what users are told. */
final class Checker {
  private final World world;
  private final Map<String, Map<String, Worker>> running = new HashMap<>();
  private final Set<String> completed = new HashSet<>();
  private final Map<String, Double> usage = new HashMap<>();
  private final Map<String, Double> cancelled = new HashMap<>();
  private final Map<String, String> told = new LinkedHashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final List<String> broken = new ArrayList<>();

  Checker(World world) {
    this.world = world;
  }

  synchronized void broken(String rule, String what) {
    world.journal.line("BROKEN %s: %s", rule, what);
    broken.add(rule);
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  synchronized void started(Worker worker, Worker.Attempt attempt) {
    world.journal.line("%s: %s try %d starts", worker.host, attempt.piece, attempt.number);
    starts.merge(attempt.piece, 1, Integer::sum);
    Map<String, Worker> copies = running.computeIfAbsent(attempt.piece, p -> new HashMap<>());
    if (!copies.isEmpty()) {
      broken("ran_twice", attempt.piece + " starts on " + worker.host + " while it is on " + copies.keySet());
    }
    copies.put(worker.host, worker);
    double used = usage.merge(attempt.job.crew, attempt.job.vcpus, Double::sum);
    double limit = world.limits.getOrDefault(attempt.job.crew, 0.0);
    if (limit > 0 && used > limit + 1e-6) {
      broken("quota", attempt.job.crew + " uses " + used + " of " + limit);
    }
    Double at = cancelled.get(attempt.job.ref);
    if (at != null && Journal.now() - at > world.cancelSeconds) {
      broken("ran_cancelled", attempt.piece + " starts " + (Journal.now() - at) + " s after its user was told");
    }
  }

  synchronized void left(Worker worker, Worker.Attempt attempt, String why) {
    world.journal.line("%s: %s try %d leaves: %s", worker.host, attempt.piece, attempt.number, why);
    running.getOrDefault(attempt.piece, new HashMap<>()).remove(worker.host);
    usage.merge(attempt.job.crew, -attempt.job.vcpus, Double::sum);
    Double at = cancelled.get(attempt.job.ref);
    if (at != null && Journal.now() - at > world.cancelSeconds + 0.1) {
      broken("ran_cancelled", attempt.piece + " leaves " + (Journal.now() - at) + " s after its user was told");
    }
  }

  synchronized void done(Worker.Attempt attempt) {
    completed.add(attempt.piece);
  }

  synchronized boolean completed(String piece) {
    return completed.contains(piece);
  }

  synchronized boolean allCompleted(Job job) {
    for (int i = 0; i < job.pieces; i++) {
      if (!completed.contains(job.ref + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  synchronized int starts(String piece) {
    return starts.getOrDefault(piece, 0);
  }

  synchronized boolean onMachine(String piece) {
    return !running.getOrDefault(piece, Map.of()).isEmpty();
  }

  synchronized Worker holder(String piece) {
    Map<String, Worker> copies = running.getOrDefault(piece, Map.of());
    return copies.isEmpty() ? null : copies.values().iterator().next();
  }

  /** Judges an answer to a request that was sent when {@code before} was the last thing told. */
  synchronized void answered(Job job, String node, String kind, String before, Http.Answer answer) {
    String status = null;
    if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
      status = (String) answer.map().get("status");
    }
    world.journal.line("user %s %s at %s: %s %s", kind, job.ref, node,
        answer == null ? "no answer" : answer.status(), status == null ? "" : status);
    if (answer == null) {
      return;
    }
    if (before != null && answer.status() == 404) {
      broken("forgotten", job.ref + " was accepted and is answered 404 by " + node);
    }
    if (before != null && kind.equals("submits") && (answer.status() == 400 || answer.status() == 422)) {
      broken("forgotten", job.ref + " was accepted and is answered " + answer.status() + " by " + node);
    }
    if (status == null) {
      return;
    }
    boolean ended = status.equals("done") || status.equals("withdrawn");
    boolean wasEnded = "done".equals(before) || "withdrawn".equals(before);
    if (wasEnded && !status.equals(before)) {
      broken("went_back", job.ref + " was " + before + " and is " + status + " at " + node);
    }
    if (status.equals("done") && !allCompleted(job)) {
      broken("not_done", job.ref + " is called done by " + node);
    }
    if (status.equals("withdrawn")) {
      cancelled.putIfAbsent(job.ref, Journal.now());
    }
    String last = told.get(job.ref);
    if (last == null || ended) {
      told.put(job.ref, status);
    }
  }

  synchronized String told(String ref) {
    return told.get(ref);
  }

  /** Tasks of cancelled jobs that are still on a machine beyond the limit. */
  synchronized void sweep() {
    running.forEach((piece, copies) -> {
      Double at = cancelled.get(piece.substring(0, piece.indexOf('/')));
      if (at != null && !copies.isEmpty() && Journal.now() - at > world.cancelSeconds + 0.1
          && !broken.contains("ran_cancelled")) {
        broken("ran_cancelled", piece + " is on " + copies.keySet() + " " + (Journal.now() - at)
            + " s after its user was told");
      }
    });
  }
}
