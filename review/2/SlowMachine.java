import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * Case 2: a machine runs its tasks slower for some seconds. Once it is as fast as before, jobs that
 * wait must start on it again.
 */
final class SlowMachine {
  /** The pages slow machines down by a factor of 3, for 100 to 120 s. */
  private static final double FACTOR = 3;

  private static final long SLOW_MS = 8_000;

  /** The longest wait that the rule allows. */
  private static final double RULE_S = 90;

  private static final String FULL = "j-000001";
  private static final String REPLICA = "j-000002";
  private static final String ARRAY = "j-000003";
  private static final int PIECES = 30;

  private SlowMachine() {}

  public static void main(String[] arguments) throws Exception {
    Cloud.Terms terms = new Cloud.Terms();
    terms.capacity = 3;
    Deployment deployment = new Deployment(Path.of(arguments[0]), terms, 3);
    World world = deployment.world;
    Users users = deployment.users;
    deployment.start();

    // Two machines are full; the third holds one replica and has room for three more tasks.
    ObjectNode full = Users.job(FULL, "urednistvo", "daemon", 2, 0);
    users.submit(full.put("vcpus", 4.0).put("memory_gb", 6.8), 0);
    deployment.need("two machines are full", 15, () -> world.runningOf(FULL) == 2);
    users.submit(Users.job(REPLICA, "urednistvo", "daemon", 1, 0), 0);
    deployment.need("the replica runs", 10, () -> world.runningOf(REPLICA) == 1);
    Worker machine =
        deployment.cloud.workers().stream()
            .filter(worker -> worker.summary().contains(REPLICA))
            .findFirst()
            .orElseThrow();

    users.submit(Users.job(ARRAY, "urednistvo", "sweep", PIECES, 2), 2);
    deployment.need("six tasks are done", 25, () -> world.completedOf(ARRAY) >= 6);
    if (deployment.trouble) {
      machine.slowDown(FACTOR);
      Thread.sleep(SLOW_MS);
      machine.slowDown(1);
    }
    deployment.need(
        "the array has tasks left", 1, () -> world.completedOf(ARRAY) < PIECES);

    // The rule: no 90 s without a start while tasks wait and the machine has room.
    long session = machine.session();
    int starts = world.startsOf(ARRAY);
    double since = Record.seconds();
    while (world.completedOf(ARRAY) < PIECES) {
      if (world.startsOf(ARRAY) != starts) {
        starts = world.startsOf(ARRAY);
        since = Record.seconds();
      }
      if (Record.seconds() - since >= RULE_S) {
        deployment.record.line(
            "%s: session %d, was %d; %s", machine.host(), machine.session(), session,
            machine.summary());
        if (machine.isGone() || machine.session() != session || machine.active() > 1) {
          deployment.cannotRun("the machine did not stay up with room");
        }
        users.askAt(0, ARRAY);
        deployment.broken(
            "the array has waited for 90 s beside a machine that has room and is as fast as ever");
      }
      if (Record.seconds() > Deployment.LIMIT_S) {
        deployment.cannotRun("the array was neither done nor left waiting in the run's time");
      }
      Thread.sleep(50);
    }
    deployment.held("the array was done");
  }
}
