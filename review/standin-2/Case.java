import java.nio.file.Path;

/** Runs one case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;
  private static final long LIMIT_MILLIS = 117_000;

  interface Body {
    int run(World world, boolean trouble) throws Exception;
  }

  private Case() {}

  /** Runs the body in a fresh world and ends this process; the first argument names the record. */
  static void main(String[] arguments, Body body) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = NOT_RUN;
    try {
      World world = new World(Path.of(arguments[0]));
      Runtime.getRuntime().addShutdownHook(new Thread(world::close));
      Http.thread("limit", () -> {
        Thread.sleep(LIMIT_MILLIS);
        world.journal.line("the time of the case is over");
        System.out.println("not run: the time of the case is over");
        System.exit(NOT_RUN);
      });
      result = body.run(world, trouble);
      world.journal.line("result %d", result);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result);
  }
}
