/**
 * The cloud offers two machine types, and has none left of the cheaper one. A job that may use any
 * type is accepted; it should run on the other type.
 */
final class SoldOutType {
  private static final double LIMIT_SECONDS = 100;

  public static void main(String[] arguments) {
    Case.main(arguments, SoldOutType::run);
  }

  private static int run(World world, boolean trouble) throws Exception {
    world.receptnik();
    world.otherFlavor = "latvica";
    world.otherCapacity = 16;
    world.capacity = trouble ? 0 : 40;
    world.open(3);
    for (String name : world.nodes.keySet()) {
      world.start(name);
    }
    Job search = new Job("j-000412", "juha-search", "urednistvo", true, "high", 1, 1, 1.2, 0);
    if (!world.submitUntilAccepted(search)) {
      System.out.println("the service was not accepted");
      return Case.NOT_RUN;
    }
    double begin = Journal.now();
    for (int i = 0; Journal.now() - begin < LIMIT_SECONDS; i++) {
      Thread.sleep(500);
      if (world.checker.starts("j-000412/0") > 0) {
        System.out.printf("held: the replica began %.1f s after it was accepted, on a %s%n",
            Journal.now() - begin, world.holder("j-000412/0").flavor);
        return Case.HELD;
      }
      if (i % 10 == 0) {
        world.poll("worker-" + i / 10 % 3, search);
      }
    }
    System.out.printf("broken: no task was started within %.0f s, and none of the %d machines of the other type was rented%n",
        LIMIT_SECONDS, world.otherCapacity);
    return Case.BROKEN;
  }
}
