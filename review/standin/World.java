import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What all stand-ins share: the jobs that users have uploaded, the controllers' addresses, and what
 * ran where. It checks {@code ran_twice} and the team's limit whenever a task starts.
 */
final class World {
  /** A job as its user uploaded it for the workers; {@code runS} is the true run time. */
  record Job(String shape, double cpus, double memoryGb, double runS) {}

  private final Map<String, Job> jobs = new HashMap<>();
  private final Set<String> mistaken = new HashSet<>();
  private final Map<String, String> runningOn = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<String, Integer> completed = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private final List<String> nodes;
  private final List<String> nodeNames;
  private final long fetchMs;
  private final Record record;

  World(List<String> nodes, List<String> nodeNames, long fetchMs, Record record) {
    this.nodes = nodes;
    this.nodeNames = nodeNames;
    this.fetchMs = fetchMs;
    this.record = record;
  }

  List<String> nodes() {
    return nodes;
  }

  int nodeIndex(String name) {
    return nodeNames.indexOf(name);
  }

  long fetchMs() {
    return fetchMs;
  }

  synchronized void upload(String ref, Job job) {
    jobs.put(ref, job);
  }

  /** Marks a job as submitted with a mistake: its tasks fail on every machine. */
  synchronized void mistaken(String ref) {
    mistaken.add(ref);
  }

  synchronized boolean isMistaken(String ref) {
    return mistaken.contains(ref);
  }

  synchronized Job job(String ref) {
    return jobs.get(ref);
  }

  synchronized void entered(String host, String piece, long attempt) {
    record.line("%s runs %s try %d", host, piece, attempt);
    starts.merge(piece, 1, Integer::sum);
    String other = runningOn.put(piece, host);
    if (other != null) {
      broken.add("ran_twice: " + piece + " starts on " + host + " while it is on " + other);
      record.line("BROKEN %s", broken.get(broken.size() - 1));
    }
  }

  synchronized void left(String host, String piece, long attempt, String why) {
    record.line("%s no longer runs %s try %d: %s", host, piece, attempt, why);
    runningOn.remove(piece, host);
  }

  synchronized void completed(String piece) {
    completed.merge(piece, 1, Integer::sum);
  }

  synchronized int completedOf(String ref) {
    return (int) completed.keySet().stream().filter(p -> p.startsWith(ref + "/")).count();
  }

  synchronized int runningOf(String ref) {
    return (int) runningOn.keySet().stream().filter(p -> p.startsWith(ref + "/")).count();
  }

  synchronized int startsOf(String ref) {
    return starts.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(ref + "/"))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }
}
