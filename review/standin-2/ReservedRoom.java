import java.util.ArrayList;
import java.util.List;

/**
 * Three arrays come where one is usual, so that there is more work than room. A replica of a live
 * service is submitted then; each machine has room for it all the time.
 */
final class ReservedRoom {
  private static final double LIMIT_SECONDS = 90;

  public static void main(String[] arguments) {
    Case.main(arguments, ReservedRoom::run);
  }

  private static int run(World world, boolean trouble) throws Exception {
    world.team("datos-costa", 88, 232);
    world.capacity = 3;
    world.open(3);
    for (String name : world.nodes.keySet()) {
      world.start(name);
    }
    List<Worker> machines = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      machines.add(world.addMachine(world.zones.get(i % 2), false));
    }
    // sensor-check: 2 CPUs and 7.3 GB, give or take 40%.
    for (int i = 0; i < (trouble ? 3 : 1); i++) {
      Job array = new Job("j-00010" + i, "sensor-check", "datos-costa", false, "standard",
          trouble ? 45 : 13, 2.8, 10.2, 60);
      if (!world.submitUntilAccepted(array)) {
        System.out.println("an array was not accepted");
        return Case.NOT_RUN;
      }
    }
    Thread.sleep(12_000);
    Job feed = new Job("j-000412", "oleaje-feed", "datos-costa", true, "production", 1, 2, 6.7, 0);
    if (!world.submitUntilAccepted(feed)) {
      System.out.println("the service was not accepted");
      return Case.NOT_RUN;
    }
    double begin = Journal.now();
    int pending = 0;
    List<Worker> withRoom = new ArrayList<>(machines);
    while (Journal.now() - begin < LIMIT_SECONDS) {
      Thread.sleep(500);
      if (world.checker.starts("j-000412/0") > 0) {
        System.out.printf("held: the replica began %.1f s after it was accepted%n", Journal.now() - begin);
        return Case.HELD;
      }
      withRoom.removeIf(machine -> !machine.hasRoom(feed));
      if ((int) ((Journal.now() - begin) * 2) % 10 == 0) {
        Http.Answer answer = world.poll("worker-" + pending % 3, feed);
        pending += answer != null && "pending".equals(answer.map().get("status")) ? 1 : 0;
      }
    }
    if (withRoom.isEmpty()) {
      System.out.println("not run: no machine had room all the time");
      return Case.NOT_RUN;
    }
    System.out.printf("broken: the replica did not begin within %.0f s, and %d machines had room for it all the time; told pending %d times%n",
        LIMIT_SECONDS, withRoom.size(), pending);
    return Case.BROKEN;
  }
}
