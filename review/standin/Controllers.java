import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** The project's controllers as processes, started with the command of the deploy file. */
final class Controllers {
  /** Ports below those that the system gives to outgoing connections. */
  private static final int FIRST_PORT = 15_000;

  private static final int PORTS = 15_000;

  private final Path repository;
  private final Path folder;
  private final Record record;
  private final List<String> front = new ArrayList<>();
  private final List<String> back = new ArrayList<>();
  private final Process[] processes;
  private final boolean[] expectedToRun;
  private volatile boolean closed;

  /** After this time a controller that ended by itself is started again; 0: never. */
  volatile long restartDelayMs;

  private final List<String> endedAlone = new ArrayList<>();

  Controllers(Path repository, Path folder, int count, Record record) throws IOException {
    this.repository = repository;
    this.folder = folder;
    this.record = record;
    this.processes = new Process[count];
    this.expectedToRun = new boolean[count];
    Random random = new Random();
    while (back.size() < count) {
      int port = FIRST_PORT + random.nextInt(PORTS);
      String address = "127.0.0.1:" + port;
      if (isFree(port) && !front.contains(address) && !back.contains(address)) {
        (front.size() < count ? front : back).add(address);
      }
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  List<String> addresses() {
    return front;
  }

  List<String> names() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < processes.length; i++) {
      names.add("worker-" + i);
    }
    return names;
  }

  /** Writes a controller's settings; {@code facts} is the text from {@code [facts]} on. */
  void configure(int index, String zone, StateService state, Cloud cloud, String facts)
      throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("node = \"worker-").append(index).append("\"\ndomain = \"").append(zone);
    text.append("\"\nserve_on = \"").append(front.get(index)).append("\"\ncluster_listen = \"");
    text.append(back.get(index)).append("\"\n");
    for (int i = 0; i < processes.length; i++) {
      if (i != index) {
        text.append("\n[[members]]\nnode = \"worker-").append(i).append("\"\ndomain = \"");
        text.append(zone).append("\"\naddr = \"").append(back.get(i)).append("\"\n");
      }
    }
    text.append("\n[outside]\ncloud = \"").append(cloud.address()).append("\"\nstate = \"");
    text.append(state.address(index)).append("\"\n\n").append(facts);
    Files.writeString(settings(index), text);
  }

  private Path settings(int index) {
    return folder.resolve("settings-" + index + ".toml");
  }

  void start(int index) throws IOException {
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        command.addAll(Arrays.asList(run.split(" ")));
      }
    }
    command.add(settings(index).toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(folder.resolve("controller-" + index + ".log").toFile()));
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    Process process = builder.start();
    processes[index] = process;
    expectedToRun[index] = true;
    record.line("controller %d started, process %d", index, process.pid());
    process
        .onExit()
        .thenAccept(
            ended -> {
              synchronized (this) {
                if (expectedToRun[index] && processes[index] == ended) {
                  endedAlone.add("controller " + index + " ended, exit code " + ended.exitValue());
                  record.line("%s", endedAlone.get(endedAlone.size() - 1));
                  restartLater(index);
                }
              }
            });
  }

  /** The platform starts a controller again some seconds after its end. */
  private void restartLater(int index) {
    if (restartDelayMs > 0) {
      Thread restarter =
          new Thread(
              () -> {
                try {
                  Thread.sleep(restartDelayMs);
                  if (!closed) {
                    start(index);
                  }
                } catch (IOException | InterruptedException e) {
                  record.line("controller %d was not started again: %s", index, e);
                }
              },
              "platform");
      restarter.setDaemon(true);
      restarter.start();
    }
  }

  synchronized List<String> endedAlone() {
    return List.copyOf(endedAlone);
  }

  boolean running(int index) {
    return processes[index] != null && processes[index].isAlive();
  }

  void killAll() {
    closed = true;
    synchronized (this) {
      Arrays.fill(expectedToRun, false);
    }
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  /** Waits until every running controller is ready; returns false after the limit. */
  boolean awaitReady(double limitS) throws InterruptedException {
    double end = Record.seconds() + limitS;
    while (Record.seconds() < end) {
      boolean all = true;
      for (int i = 0; i < processes.length; i++) {
        all &= !running(i) || Wire.call("GET", front.get(i), "/ready", null, 1000).status() == 200;
      }
      if (all) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }
}
