import java.util.ArrayList;
import java.util.List;

/**
 * The versions of the state service pass 2^35 while a leader is in office. The leader then crashes,
 * and the next one's token is above that. An accepted job should still be completed.
 */
final class LargeVersions {
  private static final long BOUND = 1L << 35;
  private static final double LIMIT_SECONDS = 75;

  public static void main(String[] arguments) {
    Case.main(arguments, LargeVersions::run);
  }

  private static int run(World world, boolean trouble) throws Exception {
    world.team("datos-costa", 88, 232);
    world.capacity = 3;
    world.epoch = BOUND - 30;
    world.open(3);
    for (String name : world.nodes.keySet()) {
      world.start(name);
    }
    for (int i = 0; i < 3; i++) {
      world.addMachine(world.zones.get(i % 2), false);
    }
    // One-task jobs, four a second, bring the versions beyond the bound.
    List<Job> small = new ArrayList<>();
    while (world.state.epoch() < BOUND + 10) {
      Job job = new Job(String.format("j-%06d", small.size()), "sensor-check", "datos-costa", false,
          "standard", 1, 1, 2, 1);
      small.add(job);
      if (small.size() > 100 || !world.submitUntilAccepted(job)) {
        System.out.println("a job was not accepted");
        return Case.NOT_RUN;
      }
      Thread.sleep(250);
    }
    Job batch = new Job("j-000412", "sensor-check", "datos-costa", false, "standard", 40, 2, 7.3, 14);
    if (!world.submitUntilAccepted(batch) || !world.await(10, () -> world.checker.onMachine("j-000412/0"))) {
      System.out.println("the job did not begin");
      return Case.NOT_RUN;
    }
    String leader = world.leader();
    if (leader == null || world.state.stamp("oak/a/leader") >= BOUND) {
      System.out.println("the first leader did not last until here");
      return Case.NOT_RUN;
    }
    if (trouble) {
      world.signal(leader, "KILL");
      Thread.sleep(3000);
      world.start(leader);
    }
    double begin = Journal.now();
    int polls = 0;
    while (Journal.now() - begin < LIMIT_SECONDS) {
      world.poll("worker-" + ++polls % 3, batch);
      if ("done".equals(world.checker.told(batch.ref))) {
        System.out.printf("held: the job was done %.1f s later%n", Journal.now() - begin);
        return Case.HELD;
      }
      Thread.sleep(2500);
    }
    int starts = 0;
    for (int i = 0; i < batch.pieces; i++) {
      starts += world.checker.starts(batch.ref + "/" + i);
    }
    System.out.printf("broken: the job is not done after %.0f s, its 40 tasks of 14 s began %d times; token %d%n",
        LIMIT_SECONDS, starts, world.state.stamp("oak/a/leader"));
    return Case.BROKEN;
  }
}
