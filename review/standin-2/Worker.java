import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A worker of PROTOCOL.md on a rented machine. */
final class Worker {
  /** An attempt at a task on this machine. */
  static final class Attempt {
    final String piece;
    final long number;
    final Job job;
    String status;
    String cause;
    long readyAt;
    long doneAt = Long.MAX_VALUE;
    long failsAt;

    Attempt(String piece, long number, Job job) {
      this.piece = piece;
      this.number = number;
      this.job = job;
    }

    boolean ended() {
      return status.equals("ended");
    }

    boolean executing() {
      return status.equals("running");
    }
  }

  interface Link {
    /** Whether packets from this worker reach the node, and answers come back. */
    boolean open(Worker worker, String node);
  }

  final String host;
  final String flavor;
  final String region;
  final boolean spot;
  final World world;
  String address;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Random random;
  private final List<String> nodes;
  private int target;
  private long shift = 1;
  private long tick;
  private long baton;
  private long renewedAt = System.nanoTime();
  private long lastReport;
  private long lastBatonChange;
  private boolean changed = true;
  private volatile boolean gone;
  private volatile long hungUntil;
  volatile boolean mute;
  volatile boolean deaf;
  volatile boolean commandsHeld;
  /** Every task fails soon after it has begun. */
  volatile boolean faulty;
  private final java.util.Set<String> images = new java.util.HashSet<>();

  Worker(World world, String host, String flavor, String region, boolean spot, long seed) throws Exception {
    this.world = world;
    this.host = host;
    this.flavor = flavor;
    this.region = region;
    this.spot = spot;
    this.random = new Random(seed);
    this.nodes = new ArrayList<>(world.frontOf.keySet());
    this.target = random.nextInt(nodes.size());
    this.address = "127.0.0.1:" + Http.serve(0, this::serve);
    Http.thread("worker-" + host, this::report);
    Http.thread("tasks-" + host, () -> {
      while (!gone) {
        Thread.sleep(20);
        step();
      }
    });
  }

  void hang(double seconds) {
    world.journal.line("%s hangs for %.1f s", host, seconds);
    hungUntil = System.nanoTime() + (long) (seconds * 1e9);
  }

  private boolean hung() {
    return System.nanoTime() < hungUntil;
  }

  /** The machine and everything on it are gone. */
  synchronized void vanish() {
    if (!gone) {
      gone = true;
      endAll("machine gone");
    }
  }

  boolean gone() {
    return gone;
  }

  private void endAll(String why) {
    for (Attempt attempt : attempts.values()) {
      if (attempt.executing()) {
        world.checker.left(this, attempt, why);
      }
    }
    attempts.clear();
    changed = true;
  }

  private synchronized void step() {
    if (hung() || gone) {
      return;
    }
    expireLease();
    long now = System.nanoTime();
    for (Attempt attempt : attempts.values()) {
      if (attempt.status.equals("fetching") && attempt.readyAt <= now) {
        attempt.status = "running";
        changed = true;
        images.add(attempt.job.bundle());
        world.checker.started(this, attempt);
        attempt.failsAt = now + 300_000_000L;
        if (world.checker.completed(attempt.piece)) {
          end(attempt, "done");
        } else if (!attempt.job.daemon) {
          attempt.doneAt = now + (long) (attempt.job.runSeconds * 1e9);
        }
      } else if (attempt.executing() && faulty && attempt.failsAt <= now) {
        end(attempt, "error");
      } else if (attempt.executing() && attempt.doneAt <= now) {
        end(attempt, "done");
      }
    }
  }

  private void expireLease() {
    if (System.nanoTime() - renewedAt > world.leaseSeconds * 1e9) {
      if (attempts.values().stream().anyMatch(attempt -> !attempt.ended())) {
        world.journal.line("%s: lease of session %d over", host, shift);
      }
      endAll("lease over");
      shift++;
      renewedAt = System.nanoTime();
    }
  }

  private void end(Attempt attempt, String cause) {
    if (attempt.executing()) {
      if (cause.equals("done")) {
        world.checker.done(attempt);
      }
      world.checker.left(this, attempt, cause);
    }
    attempt.status = "ended";
    attempt.cause = cause;
    changed = true;
  }

  private Map<String, Object> body() {
    List<Object> pieces = new ArrayList<>();
    for (Attempt attempt : attempts.values()) {
      Map<String, Object> piece =
          Pack.of("piece", attempt.piece, "try", attempt.number, "status", attempt.status);
      if (attempt.ended()) {
        piece.put("cause", attempt.cause);
      }
      pieces.add(piece);
    }
    return Pack.of("host", host, "addr", address, "flavor", flavor, "region", region,
        "leftovers", spot, "shift", shift, "tick", ++tick, "baton", baton, "warning_s", null,
        "pieces", pieces);
  }

  private void see(long token) {
    if (token > baton) {
      baton = token;
      if (System.nanoTime() - lastBatonChange > world.leaseSeconds * 0.5e9) {
        lastBatonChange = System.nanoTime();
        changed = true;
      }
    }
  }

  private Http.Answer serve(Http.Request request) throws Exception {
    while (!gone && (hung() || commandsHeld)) {
      Thread.sleep(10);
    }
    if (gone || deaf) {
      Thread.sleep(10_000);
      return null;
    }
    synchronized (this) {
      expireLease();
      if (request.path().equals("/show")) {
        return Http.Answer.of(200, body());
      }
      Map<String, Object> command = Pack.map(request.body());
      if (command == null || !command.containsKey("baton") || !command.containsKey("shift")) {
        return Http.Answer.of(400, Pack.of("error", "baton or shift is missing"));
      }
      long token = Pack.number(command, "baton", 0);
      if (token < baton || Pack.number(command, "shift", 0) != shift) {
        world.journal.line("%s refuses a command with token %d, session %d", host, token,
            Pack.number(command, "shift", 0));
        return Http.Answer.of(409, body());
      }
      see(token);
      execute(Pack.maps(command, "orders"), token, "command");
      return Http.Answer.of(200, body());
    }
  }

  private void execute(List<Map<String, Object>> orders, long token, String way) {
    for (Map<String, Object> order : orders) {
      String piece = (String) order.get("piece");
      long number = Pack.number(order, "try", 0);
      String key = piece + " " + number;
      Attempt known = attempts.get(key);
      world.journal.line("%s: %s %s try %d by %s, token %d", host, order.get("verb"), piece, number, way, token);
      switch ((String) order.get("verb")) {
        case "run" -> {
          if (known == null) {
            run(piece, number, key);
          }
        }
        case "halt" -> {
          if (known != null && !known.ended()) {
            end(known, "halted");
          }
        }
        default -> {
          if (known != null && known.ended()) {
            attempts.remove(key);
          }
        }
      }
    }
  }

  private void run(String piece, long number, String key) {
    Job job = world.job(piece.substring(0, piece.indexOf('/')));
    Attempt attempt = new Attempt(piece, number, job);
    attempt.status = "ended";
    boolean busy = attempts.values().stream().anyMatch(other -> other.piece.equals(piece) && !other.ended());
    if (job == null) {
      attempt.cause = "unknown";
    } else if (busy) {
      attempt.cause = "busy";
    } else if (!fits(job)) {
      attempt.cause = "no_room";
    } else {
      attempt.status = "fetching";
      attempt.readyAt = System.nanoTime() + (long) (fetchSeconds(job) * 1e9);
    }
    attempts.put(key, attempt);
    changed = true;
  }

  private double fetchSeconds(Job job) {
    return images.contains(job.bundle()) ? 0.05 : job.gigabytes() / world.fetchRate;
  }

  /** Whether the machine is sound, reports, and has room for one more task of the job. */
  synchronized boolean hasRoom(Job job) {
    return !gone && !hung() && !mute && !deaf && !commandsHeld && !faulty && fits(job);
  }

  private boolean fits(Job job) {
    double vcpus = job.vcpus;
    double memory = job.memory;
    for (Attempt attempt : attempts.values()) {
      if (!attempt.ended()) {
        vcpus += attempt.job.vcpus;
        memory += attempt.job.memory;
      }
    }
    return vcpus <= world.machineVcpus + 1e-6 && memory <= world.machineMemory + 1e-6;
  }

  private void report() throws Exception {
    double period = world.reportSeconds;
    while (!gone) {
      Thread.sleep(20);
      if (hung()) {
        continue;
      }
      double since = (System.nanoTime() - lastReport) / 1e9;
      if (since < 0.5 || !changed && since < period * (0.75 + 0.5 * random.nextDouble())) {
        continue;
      }
      String node = nodes.get(target);
      Map<String, Object> sent;
      long sentShift;
      long sentAt;
      synchronized (this) {
        expireLease();
        sent = body();
        sentShift = shift;
        sentAt = System.nanoTime();
        lastReport = sentAt;
        changed = false;
      }
      Http.Answer answer = null;
      if (!mute && world.link.open(this, node)) {
        answer = Http.call(world.frontOf.get(node), "POST", "/hello", sent, 4000);
      } else {
        Thread.sleep(4000);
      }
      while (hung() && !gone) {
        Thread.sleep(10);
      }
      if (deaf || System.nanoTime() - sentAt > 4_000_000_000L) {
        answer = null;
      }
      if (gone) {
        return;
      }
      if (answer != null && answer.status() == 200) {
        Map<String, Object> body = answer.map();
        synchronized (this) {
          long token = Pack.number(body, "baton", -1);
          if (token >= baton && sentShift == shift) {
            see(token);
            renewedAt = Math.max(renewedAt, sentAt);
            expireLease();
            execute(Pack.maps(body, "orders"), token, "answer of " + node);
          }
        }
      } else if (answer != null && answer.status() == 421 && answer.map() != null
          && nodes.contains(answer.map().get("boss")) && !node.equals(answer.map().get("boss"))) {
        target = nodes.indexOf(answer.map().get("boss"));
        changed = true;
        lastReport = System.nanoTime() - 400_000_000L;
      } else {
        target = (target + 1) % nodes.size();
        Thread.sleep(1000);
        changed = true;
      }
    }
  }
}
