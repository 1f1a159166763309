import java.util.ArrayList;
import java.util.List;

/**
 * One of three machines becomes faulty: tasks on it fail. The replica of a service that ran there
 * should come back on one of the other machines, which have room.
 */
final class FaultyMachine {
  private static final double LIMIT_SECONDS = 90;

  public static void main(String[] arguments) {
    Case.main(arguments, FaultyMachine::run);
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
    Job feed = new Job("j-000412", "oleaje-feed", "datos-costa", true, "production", 1, 2, 6.7, 0)
        .image("img-07", 6.5);
    String piece = "j-000412/0";
    if (!world.submitUntilAccepted(feed) || !world.await(40, () -> world.holder(piece) != null)) {
      System.out.println("the replica never began");
      return Case.NOT_RUN;
    }
    Worker first = world.holder(piece);
    Thread.sleep(1000);
    if (trouble) {
      world.journal.line("%s is faulty from now on", first.host);
      first.faulty = true;
    }
    double begin = Journal.now();
    List<Worker> withRoom = new ArrayList<>(machines);
    withRoom.remove(first);
    int polls = 0;
    int pending = 0;
    while (Journal.now() - begin < LIMIT_SECONDS) {
      Thread.sleep(500);
      Worker holder = world.holder(piece);
      if (trouble && holder != null && !holder.faulty) {
        System.out.printf("held: the replica began on %s after %.1f s%n", holder.host, Journal.now() - begin);
        return Case.HELD;
      }
      withRoom.removeIf(machine -> !machine.hasRoom(feed));
      if (Journal.now() - begin > 5.0 * polls) {
        Http.Answer answer = world.poll("worker-" + polls++ % 3, feed);
        pending += answer != null && "pending".equals(answer.map().get("status")) ? 1 : 0;
      }
    }
    if (!trouble) {
      boolean up = world.holder(piece) == first && world.checker.starts(piece) == 1;
      System.out.println(up ? "held: the replica ran throughout" : "the replica was stopped");
      return up ? Case.HELD : Case.BROKEN;
    }
    if (withRoom.isEmpty()) {
      System.out.println("not run: no other machine had room all the time");
      return Case.NOT_RUN;
    }
    System.out.printf("broken: in %.0f s the replica began %d times, each time on the faulty %s; %d other machines had room all the time; told pending %d of %d times%n",
        LIMIT_SECONDS, world.checker.starts(piece) - 1, first.host, withRoom.size(), pending, polls);
    return Case.BROKEN;
  }
}
