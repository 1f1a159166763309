import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/** A small deployment on loopback: controllers as processes, and stand-ins for all else. */
final class World {
  /** A controller and its process. */
  static final class Node {
    String name;
    String zone;
    int statePort;
    String front;
    String cluster;
    Path settings;
    Path log;
    Process process;
    boolean stopped;
  }

  final Journal journal;
  final Path temporary;
  final Checker checker = new Checker(this);
  final Map<String, String> frontOf = new LinkedHashMap<>();
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final TreeMap<String, Worker> workers = new TreeMap<>();
  final Map<String, Double> limits = new HashMap<>();
  private final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final Map<String, List<String>> asks = new HashMap<>();
  private final TreeMap<String, Object[]> rented = new TreeMap<>();

  // The deployment "boyas-ensenada".
  double reportSeconds = 1.5;
  double leaseSeconds = 10;
  double cancelSeconds = 40;
  double rps = 250;
  double writeRps = 100;
  double valueKb = 32;
  int txnOps = 32;
  double cloudRps = 5;
  double listLag = 8;
  String flavor = "ballena";
  double rate = 0.85;
  double machineVcpus = 16;
  double machineMemory = 64;
  double bootSeconds = 3;
  double fetchRate = 0.6;
  int capacity = 8;
  int sockets = 700;
  /** A second, dearer type of the same size, and how many of it the cloud has; null for none. */
  String otherFlavor;
  int otherCapacity;
  List<String> zones = List.of("pacifico-norte", "golfo-cortes");
  String teamLines = "";
  long epoch = 100;
  volatile boolean cloudOut;
  volatile Worker.Link link = (worker, node) -> true;
  StateService state;
  private int cloudPort;
  private int lastHost;
  private boolean closed;
  private final java.util.Random ports = new java.util.Random();
  private final java.util.Set<Integer> usedPorts = new java.util.HashSet<>();

  World(Path record) throws IOException {
    journal = new Journal(record);
    temporary = Files.createTempDirectory("oakwalk-case");
  }

  /** The deployment "receptnik-ljubljana" in place of "boyas-ensenada". */
  void receptnik() {
    reportSeconds = 3;
    leaseSeconds = 20;
    cancelSeconds = 45;
    rps = 80;
    writeRps = 15;
    valueKb = 4;
    txnOps = 8;
    cloudRps = 4;
    listLag = 6;
    flavor = "skodela";
    rate = 0.19;
    machineVcpus = 4;
    machineMemory = 8;
    sockets = 1200;
    zones = List.of("savinja");
    team("urednistvo", 0, 0);
  }

  void team(String name, double vcpus, double most) {
    limits.put(name, most);
    teamLines += "\n[[facts.teams]]\nname = \"" + name + "\"\ncpus = " + vcpus + "\ncpus_max = " + most
        + "\ngpus = 0.0\ngpus_max = 0.0\n";
  }

  /** A free port below the range from which outgoing connections get theirs. */
  private int freePort() throws IOException {
    while (true) {
      int port = 20_000 + ports.nextInt(12_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (usedPorts.add(socket.getLocalPort())) {
          return port;
        }
      } catch (java.net.BindException e) {
        // Taken; another one is tried.
      }
    }
  }

  /** Opens the stand-ins and writes the settings of the controllers; starts none. */
  void open(int controllers) throws Exception {
    state = new StateService(journal, epoch, rps, writeRps);
    cloudPort = Http.serve(0, this::cloud);
    for (int i = 0; i < controllers; i++) {
      Node node = new Node();
      node.name = "worker-" + i;
      node.zone = zones.get(i % zones.size());
      node.front = "127.0.0.1:" + freePort();
      node.cluster = "127.0.0.1:" + freePort();
      node.statePort = state.open(node.name);
      node.settings = temporary.resolve(node.name + ".toml");
      node.log = temporary.resolve(node.name + ".log");
      nodes.put(node.name, node);
      frontOf.put(node.name, node.front);
    }
    for (Node node : nodes.values()) {
      Files.writeString(node.settings, settings(node));
    }
  }

  private String settings(Node node) {
    StringBuilder text = new StringBuilder();
    text.append("node = \"").append(node.name).append("\"\ndomain = \"").append(node.zone)
        .append("\"\nserve_on = \"").append(node.front).append("\"\ncluster_listen = \"")
        .append(node.cluster).append("\"\n");
    for (Node other : nodes.values()) {
      if (other != node) {
        text.append("\n[[members]]\nnode = \"").append(other.name).append("\"\ndomain = \"")
            .append(other.zone).append("\"\naddr = \"").append(peerAddress(node, other)).append("\"\n");
      }
    }
    text.append("\n[outside]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\nstate = \"127.0.0.1:")
        .append(node.statePort).append("\"\n\n[facts]\ninitial_size = ").append(nodes.size())
        .append("\nzones = [\"").append(String.join("\", \"", zones)).append("\"]\nclock_off_ms = 1000.0\n")
        .append(teamLines)
        .append("\n[facts.workers]\nreport_s = ").append(reportSeconds).append("\nlease_s = ")
        .append(leaseSeconds).append("\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = ")
        .append(cancelSeconds).append("\n\n[facts.state]\nrps = ").append(rps).append("\nwrite_rps = ")
        .append(writeRps).append("\nvalue_kb = ").append(valueKb).append("\ntxn_ops = ").append(txnOps)
        .append("\n\n[facts.cloud]\nrps = ").append(cloudRps).append("\nlist_lag_s = ").append(listLag)
        .append("\n\n[facts.quota]\ncores = 0.44\nram_mb = 205.0\nfd_limit = ").append(sockets).append("\n");
    return text.toString();
  }

  /** The address at which a node knows another one; a case may put a proxy there. */
  String peerAddress(Node from, Node to) {
    return to.cluster;
  }

  /** Starts a controller with the command of the deploy file, from the repository's root. */
  synchronized void start(String name) throws IOException {
    if (closed) {
      return;
    }
    Node node = nodes.get(name);
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
      }
    }
    command.add(node.settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
    node.process = builder.start();
    node.stopped = false;
    journal.line("controller %s started", name);
  }

  void signal(String name, String signal) throws Exception {
    Node node = nodes.get(name);
    journal.line("controller %s gets %s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(node.process.pid())).inheritIO().start().waitFor();
    node.stopped = signal.equals("STOP");
    if (signal.equals("KILL")) {
      node.process.waitFor();
    }
  }

  /** Ends all processes and removes the temporary folder. */
  synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    for (Node node : nodes.values()) {
      if (node.process != null) {
        node.process.destroyForcibly();
        try {
          node.process.waitFor();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    String keep = System.getenv("CASE_KEEP");
    if (keep != null) {
      System.err.println("kept " + temporary);
      return;
    }
    for (File file : temporary.toFile().listFiles()) {
      file.delete();
    }
    temporary.toFile().delete();
  }

  /** The name of the node whose key is in the state service, or null. */
  String leader() {
    Map<String, Object> record = state.value("oak/a/leader");
    return record == null ? null : (String) record.get("node");
  }

  Job job(String ref) {
    return jobs.get(ref);
  }

  Http.Answer submit(String node, Job job) {
    jobs.put(job.ref, job);
    return ask(node, job, "submits", "POST", "/v2/runs", job.body, 5000);
  }

  Http.Answer poll(String node, Job job) {
    return ask(node, job, "asks for", "GET", "/v2/runs/" + job.ref, null, 2000);
  }

  Http.Answer withdraw(String node, Job job) {
    return ask(node, job, "cancels", "POST", "/v2/runs/" + job.ref + "/withdraw", Map.of(), 5000);
  }

  private Http.Answer ask(String node, Job job, String kind, String method, String path, Object body, int millis) {
    String before = checker.told(job.ref);
    Http.Answer answer = Http.call(frontOf.get(node), method, path, body, millis);
    checker.answered(job, node, kind, before, answer);
    return answer;
  }

  /** Repeats a submission at all nodes in turn until it is accepted or 60 s have passed. */
  boolean submitUntilAccepted(Job job) throws InterruptedException {
    List<String> names = new ArrayList<>(nodes.keySet());
    double end = Journal.now() + 60;
    for (int i = Math.abs(job.ref.hashCode() % names.size()); Journal.now() < end; i++) {
      Http.Answer answer = submit(names.get(i % names.size()), job);
      if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
        return true;
      }
      Thread.sleep(1000);
    }
    return false;
  }

  boolean await(double seconds, BooleanSupplier condition) throws InterruptedException {
    double end = Journal.now() + seconds;
    while (Journal.now() < end) {
      if (condition.getAsBoolean()) {
        return true;
      }
      Thread.sleep(50);
    }
    return condition.getAsBoolean();
  }

  /** The machine that holds a task, or null. */
  Worker holder(String piece) {
    return checker.holder(piece);
  }

  boolean ready(String name) {
    Http.Answer answer = Http.call(frontOf.get(name), "GET", "/ready", null, 1000);
    return answer != null && answer.status() == 200;
  }

  /** Adds a machine that is up already. */
  synchronized Worker addMachine(String zone, boolean spot) throws Exception {
    String host = String.format("host-%06d", ++lastHost);
    Worker worker = new Worker(this, host, flavor, zone, spot, lastHost);
    workers.put(host, worker);
    rented.put(host, new Object[] {zone, spot, System.nanoTime(), flavor});
    return worker;
  }

  private synchronized Http.Answer cloud(Http.Request request) {
    if (cloudOut) {
      return Http.Answer.of(503, Pack.of("error", "trouble"));
    }
    switch (request.path()) {
      case "/catalog" -> {
        List<Object> flavors = new ArrayList<>(List.of(type(flavor, rate)));
        if (otherFlavor != null) {
          flavors.add(type(otherFlavor, 1.3 * rate));
        }
        return Http.Answer.of(200, Pack.of("flavors", flavors));
      }
      case "/rentals" -> {
        return request.method().equals("GET") ? list(request) : rent(Pack.map(request.body()));
      }
      case "/rentals/release" -> {
        Map<String, Object> body = Pack.map(request.body());
        for (Object host : (List<?>) body.get("hosts")) {
          journal.line("cloud: %s is released", host);
          rented.remove(host);
          Worker worker = workers.get(host);
          if (worker != null) {
            worker.vanish();
          }
        }
        return Http.Answer.of(200, Map.of());
      }
      default -> {
        return Http.Answer.of(404, Map.of());
      }
    }
  }

  private Map<String, Object> type(String sku, double rate) {
    return Pack.of("sku", sku, "vcpus", machineVcpus, "accelerators", 0.0, "memory_gb", machineMemory,
        "cache_gb", 50.0, "fetch_gb_per_s", fetchRate, "rate", rate, "low_price", rate / 4,
        "startup_s", bootSeconds, "regions", zones);
  }

  private Http.Answer list(Http.Request request) {
    String from = request.query().getOrDefault("from", "");
    int limit = Integer.parseInt(request.query().getOrDefault("limit", "500"));
    List<Object> hosts = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Object[]> entry : rented.tailMap(from, false).entrySet()) {
      if (hosts.size() == limit) {
        more = true;
        break;
      }
      Worker worker = workers.get(entry.getKey());
      hosts.add(Pack.of("ref", entry.getKey(), "addr", worker == null ? null : worker.address,
          "flavor", entry.getValue()[3], "region", entry.getValue()[0], "leftovers", entry.getValue()[1],
          "status", worker == null ? "booting" : "running",
          "held_s", (System.nanoTime() - (Long) entry.getValue()[2]) / 1e9));
    }
    return Http.Answer.of(200, Pack.of("hosts", hosts, "more", more));
  }

  private Http.Answer rent(Map<String, Object> body) {
    String ask = (String) body.get("ask");
    if (asks.containsKey(ask)) {
      return Http.Answer.of(200, Pack.of("hosts", asks.get(ask)));
    }
    String zone = (String) body.get("region");
    boolean spot = (Boolean) body.get("leftovers");
    String sku = (String) body.get("flavor");
    long held = rented.values().stream().filter(entry -> entry[3].equals(sku)).count();
    long number = Math.min(Pack.number(body, "number", 0), (sku.equals(flavor) ? capacity : otherCapacity) - held);
    if (number <= 0) {
      journal.line("cloud: no capacity for %d %s in %s under %s", Pack.number(body, "number", 0), sku, zone, ask);
      return Http.Answer.of(503, Pack.of("error", "no capacity"));
    }
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < number; i++) {
      String host = String.format("host-%06d", ++lastHost);
      hosts.add(host);
      rented.put(host, new Object[] {zone, spot, System.nanoTime(), sku});
      int seed = lastHost;
      Http.thread("boot", () -> {
        Thread.sleep((long) (bootSeconds * 1000));
        synchronized (this) {
          if (rented.containsKey(host)) {
            workers.put(host, new Worker(this, host, sku, zone, spot, seed));
            journal.line("cloud: %s is up in %s", host, zone);
          }
        }
      });
    }
    asks.put(ask, hosts);
    journal.line("cloud: %s rented under %s", hosts, ask);
    return Http.Answer.of(200, Pack.of("hosts", hosts));
  }
}
