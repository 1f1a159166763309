import java.util.HashMap;
import java.util.Map;

/**
 * All controllers crash once, after the service has run for 17 days: the state service holds the
 * final states of that many jobs. The controllers should come back and answer.
 */
final class EndedJobs {
  /** 17 days of 16.9 jobs a minute, as on the page of boyas-ensenada. */
  private static final int DAYS_OF_JOBS = 414_000;

  private static final int DAY_OF_JOBS = 24_000;
  private static final double LIMIT_SECONDS = 100;

  public static void main(String[] arguments) {
    Case.main(arguments, EndedJobs::run);
  }

  private static int run(World world, boolean trouble) throws Exception {
    world.team("datos-costa", 88, 232);
    world.open(3);
    world.addMachine(world.zones.get(0), false);
    for (String name : world.nodes.keySet()) {
      world.start(name);
    }
    Job first = new Job("j-000412", "sensor-check", "datos-costa", false, "standard", 1, 1, 2, 0.5);
    if (!world.submitUntilAccepted(first) || !world.await(10, () -> {
      world.poll("worker-0", first);
      return "done".equals(world.checker.told(first.ref));
    })) {
      System.out.println("the first job was not done");
      return Case.NOT_RUN;
    }
    for (String name : world.nodes.keySet()) {
      world.signal(name, "KILL");
    }
    int jobs = trouble ? DAYS_OF_JOBS : DAY_OF_JOBS;
    world.state.keepEndedJobs("oak/a/job/j-000412", jobs);
    world.journal.line("state service: %d ended jobs more", jobs);
    for (String name : world.nodes.keySet()) {
      world.start(name);
    }
    Map<String, Integer> ends = new HashMap<>();
    double begin = Journal.now();
    int answers = 0;
    while (Journal.now() - begin < LIMIT_SECONDS && ends.values().stream().mapToInt(Integer::intValue).sum() < 3) {
      Thread.sleep(1000);
      for (World.Node node : world.nodes.values()) {
        if (!node.process.isAlive()) {
          world.journal.line("controller %s ended by itself with code %d", node.name, node.process.exitValue());
          ends.merge(node.name, 1, Integer::sum);
          Thread.sleep(3000);
          world.start(node.name);
        }
      }
      Http.Answer answer = world.poll("worker-" + (int) (Journal.now() % 3), first);
      answers += answer != null && answer.status() == 200 ? 1 : 0;
      if (answers >= 5 && !trouble) {
        break;
      }
    }
    System.out.printf("%d ended jobs: controllers ended by themselves %s; %d questions about the first job answered in %.0f s%n",
        jobs, ends, answers, Journal.now() - begin);
    int total = ends.values().stream().mapToInt(Integer::intValue).sum();
    if (total >= 3) {
      return Case.BROKEN;
    }
    return answers > 0 && total == 0 ? Case.HELD : Case.NOT_RUN;
  }
}
