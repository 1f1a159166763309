import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * Case 3: a user submits one job with a mistake, tasks that take nothing of their machine. The
 * controllers must go on, and run what others submit.
 */
final class MistakenJob {
  /** The largest number of tasks of a job on the pages. */
  private static final int PIECES = 100_000;

  /** The pages' platform starts a controller again about 4 s after its end. */
  private static final long RESTART_MS = 4_000;

  /** Sound arrays beside it, since at most 4% of a class's arrays are submitted with a mistake. */
  private static final int SOUND = 24;

  private static final double WATCHED_S = 70;
  private static final String LARGE = "j-000001";
  private static final String OTHER = "j-000002";

  private MistakenJob() {}

  public static void main(String[] arguments) throws Exception {
    Cloud.Terms terms = new Cloud.Terms();
    terms.capacity = 6;
    Deployment deployment = new Deployment(Deployment.Site.RECEPTNIK, Path.of(arguments[0]), terms, 4);
    deployment.controllers.restartDelayMs = RESTART_MS;
    Users users = deployment.users;
    deployment.start();

    for (int i = 0; i < SOUND; i++) {
      users.submit(Users.job("j-" + (100_000 + i), "urednistvo", "sweep", 2, 2), 2);
    }
    ObjectNode large = Users.job(LARGE, "urednistvo", "sweep", PIECES, 5);
    if (deployment.trouble) {
      large.put("vcpus", 0.0).put("memory_gb", 0.0);
    }
    int status = users.submit(large, 5).status();
    users.submit(Users.job(OTHER, "urednistvo", "sweep", 8, 5), 5);
    deployment.record.line("the large job was answered %d", status);

    double end = Record.seconds() + WATCHED_S;
    boolean done = false;
    int asked = 0;
    int answered = 0;
    while (Record.seconds() < end) {
      Wire.Answer answer = users.askAt(asked++ % Deployment.CONTROLLERS, OTHER);
      answered += answer.status() == 200 ? 1 : 0;
      done = done || answer.text("status").equals("done");
      Thread.sleep(1000);
    }
    deployment.record.line("%d of %d questions were answered", answered, asked);
    int ends = deployment.controllers.endedAlone().size();
    deployment.record.line("controllers ended by themselves %d times", ends);
    if (ends >= Deployment.CONTROLLERS) {
      deployment.broken(ends + " ends of controllers by themselves; other job done: " + done);
    }
    if (!done) {
      deployment.broken("the other job was not done within " + WATCHED_S + " s");
    }
    deployment.held("the controllers went on and the other job was done");
  }
}
