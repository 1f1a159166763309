import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * Case 2: a start command is held up for five seconds. Its task is stopped later for a service,
 * which then leaves. The task's job, and every later one, must start on the idle machine.
 */
final class LateCommand {
  /** The pages hold commands up for 2 to 16 s. */
  private static final long HELD_MS = 5_000;

  /** The longest wait that the rule allows. */
  private static final double RULE_S = 90;

  private static final String REPLICAS = "j-000001";
  private static final String ARRAY = "j-000002";
  private static final String GUEST = "j-000003";
  private static final String LATER = "j-000004";

  private LateCommand() {}

  public static void main(String[] arguments) throws Exception {
    Cloud.Terms terms = new Cloud.Terms();
    terms.capacity = 3;
    Deployment deployment = new Deployment(Deployment.Site.RECEPTNIK, Path.of(arguments[0]), terms, 3);
    World world = deployment.world;
    Users users = deployment.users;
    deployment.start();

    // Two of the three machines are full for the whole run.
    users.submit(whole(REPLICAS, "daemon", 2, 0), 0);
    deployment.need("two replicas run", 15, () -> world.runningOf(REPLICAS) == 2);
    deployment.need("one machine is idle", 5, () -> idle(deployment) != null);
    Worker machine = idle(deployment);

    if (deployment.trouble) {
      machine.holdNextStart(HELD_MS);
    }
    ObjectNode array = Users.job(ARRAY, "urednistvo", "sweep", 1, 12);
    users.submit(array.put("vcpus", 3.0).put("memory_gb", 5.1), 12);
    deployment.need("the array's task runs", 10, () -> world.runningOf(ARRAY) == 1);
    if (deployment.trouble) {
      Thread.sleep(HELD_MS);
    }

    // A service of higher priority takes the machine and leaves again.
    users.submit(whole(GUEST, "daemon", 1, 0), 0);
    deployment.need("the service runs", 15, () -> world.runningOf(GUEST) == 1);
    users.withdraw(GUEST, 10);
    deployment.need("the service is gone", 10, () -> world.runningOf(GUEST) == 0);
    double idleSince = Record.seconds();
    int startsBefore = world.startsOf(ARRAY);
    long session = machine.session();
    int answered = machine.answeredReports();

    users.submit(Users.job(LATER, "urednistvo", "daemon", 1, 0).put("memory_gb", 1.2), 0);
    boolean started =
        deployment.await(
            RULE_S, () -> world.startsOf(ARRAY) > startsBefore || world.startsOf(LATER) > 0);
    deployment.record.line(
        "%s has been idle for %.1f s: session %d, was %d; %d reports answered since; starts of the"
            + " array %d, before %d; of the later service %d",
        machine.host(),
        Record.seconds() - idleSince,
        machine.session(),
        session,
        machine.answeredReports() - answered,
        world.startsOf(ARRAY),
        startsBefore,
        world.startsOf(LATER));
    if (!started) {
      if (machine.isGone() || machine.session() != session || machine.active() > 0) {
        deployment.cannotRun("the machine did not stay up and idle");
      }
      if (Record.seconds() - idleSince < RULE_S) {
        deployment.cannotRun("the machine was not idle for " + RULE_S + " s within the run's time");
      }
      users.askAt(0, ARRAY);
      users.askAt(0, LATER);
      deployment.broken("a one-task array and a service have waited for 90 s beside an idle machine that fits");
    }
    if (!users.awaitStatus(ARRAY, "done", 80) || world.runningOf(LATER) != 1) {
      deployment.broken("a job did not run although a machine that fits was free");
    }
    deployment.held("the array was done and the later service runs");
  }

  /** A job whose tasks take a whole machine each. */
  private static ObjectNode whole(String ref, String shape, int pieces, double guessS) {
    ObjectNode job = Users.job(ref, "urednistvo", shape, pieces, guessS);
    return job.put("vcpus", 4.0).put("memory_gb", 6.8);
  }

  private static Worker idle(Deployment deployment) {
    return deployment.cloud.workers().stream()
        .filter(worker -> worker.active() == 0 && worker.answeredReports() > 0)
        .findFirst()
        .orElse(null);
  }
}
