import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL.md, in memory; each controller has an address of its own. */
final class StateService {
  /** What one controller meets at its address. */
  enum Mode {
    /** Served. */
    OPEN,
    /** 503; open watches wait as in an outage. */
    REFUSED,
    /** The network is cut: requests are lost, and nothing is answered. */
    CUT
  }

  /** What becomes of one transaction. */
  enum Fate {
    APPLIED,
    /** Applied at once; the answer is lost. */
    ANSWER_LOST,
    /** No answer, and never applied. */
    LOST
  }

  interface Filter {
    Fate fate(String node, List<Map<String, Object>> changes);
  }

  private record Entry(Object value, long stamp, Long lease) {}

  private record Change(long stamp, String key, Object value, boolean put) {}

  private static final class Lease {
    long ttlMillis;
    long end;
  }

  private static final int KEPT_CHANGES = 10_000;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private final Map<String, Mode> modes = new HashMap<>();
  private final Journal journal;
  private final double rps;
  private final double writeRps;
  private double requestTokens;
  private double writeTokens;
  private long refilled = System.nanoTime();
  private long epoch;
  private long lastLease;
  private boolean cleared;
  volatile Filter filter = (node, changes) -> Fate.APPLIED;
  volatile boolean out;
  long limited;

  StateService(Journal journal, long epoch, double rps, double writeRps) {
    this.journal = journal;
    this.epoch = epoch;
    this.rps = rps;
    this.writeRps = writeRps;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    Http.thread("leases", () -> {
      while (true) {
        Thread.sleep(20);
        expire();
      }
    });
  }

  int open(String node) throws Exception {
    modes.put(node, Mode.OPEN);
    return Http.serve(0, request -> serve(node, request));
  }

  synchronized void mode(String node, Mode mode) {
    journal.line("state service: %s is now %s", node, mode);
    modes.put(node, mode);
    notifyAll();
  }

  /** An outage of the whole service; after it every lease has its full time again. */
  synchronized void outage(boolean begins) {
    journal.line("state service: outage %s", begins ? "begins" : "ends");
    out = begins;
    for (Lease lease : leases.values()) {
      lease.end = System.nanoTime() + lease.ttlMillis * 1_000_000;
    }
    notifyAll();
  }

  synchronized long epoch() {
    return epoch;
  }

  /** A record of a job that earlier days left: that of another job, under its own ref. */
  private record Copy(Map<String, Object> record, String ref) {
    @SuppressWarnings("unchecked")
    Map<String, Object> map() {
      Map<String, Object> map = new java.util.LinkedHashMap<>(record);
      Map<String, Object> spec = new java.util.LinkedHashMap<>((Map<String, Object>) record.get("spec"));
      spec.put("ref", ref);
      map.put("spec", spec);
      return map;
    }
  }

  /**
   * Stores what earlier days left: ended jobs, each under a key and with a version of its own, in
   * the form in which the controllers have stored the job under the given key.
   */
  synchronized void keepEndedJobs(String key, int number) {
    Map<String, Object> record = value(key);
    for (int i = 0; i < number; i++) {
      String ref = String.format("j-%06d", 500_000 + i);
      epoch++;
      entries.put(key.substring(0, key.lastIndexOf('/') + 1) + ref, new Entry(new Copy(record, ref), epoch, null));
    }
    history.clear();
    cleared = true;
  }

  private static Object plain(Object value) {
    return value instanceof Copy copy ? copy.map() : value;
  }

  @SuppressWarnings("unchecked")
  synchronized Map<String, Object> value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : (Map<String, Object>) plain(entry.value());
  }

  synchronized long stamp(String key) {
    Entry entry = entries.get(key);
    return entry == null ? 0 : entry.stamp();
  }

  synchronized int keys(String prefix) {
    return entries.subMap(prefix, prefix + "\uffff").size();
  }

  private synchronized void expire() {
    long now = System.nanoTime();
    if (out) {
      return;
    }
    for (Long id : new ArrayList<>(leases.keySet())) {
      if (leases.get(id).end < now) {
        end(id);
      }
    }
  }

  private void end(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach((key, entry) -> {
      if (entry.lease() != null && entry.lease() == id) {
        keys.add(key);
      }
    });
    if (!keys.isEmpty()) {
      epoch++;
      for (String key : keys) {
        journal.line("state service: lease %d ended, %s removed at %d", id, key, epoch);
        remove(key);
      }
      notifyAll();
    }
  }

  private void remove(String key) {
    if (entries.remove(key) != null) {
      log(new Change(epoch, key, null, false));
    }
  }

  private void log(Change change) {
    history.add(change);
    if (history.size() > KEPT_CHANGES) {
      history.poll();
    }
  }

  private boolean take(double requests, double writes) {
    long now = System.nanoTime();
    double seconds = (now - refilled) / 1e9;
    refilled = now;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
    if (requestTokens < requests || writeTokens < writes) {
      limited++;
      return false;
    }
    requestTokens -= requests;
    writeTokens -= writes;
    return true;
  }

  private static Http.Answer error(int status, String text) {
    return Http.Answer.of(status, Pack.of("error", text));
  }

  private Http.Answer serve(String node, Http.Request request) throws Exception {
    if (!request.path().equals("/store")) {
      return serveAlone(node, request);
    }
    List<Map.Entry<String, Entry>> found = new ArrayList<>();
    long at;
    int limit = Math.min(1000, Integer.parseInt(request.query().getOrDefault("limit", "1000")));
    synchronized (this) {
      Http.Answer refused = refused(node);
      if (refused != null || modes.get(node) == Mode.CUT) {
        return refused;
      }
      if (!take(1, 0)) {
        return error(429, "limit");
      }
      String prefix = request.query().getOrDefault("starts", "");
      String from = request.query().getOrDefault("from", "");
      boolean after = from.compareTo(prefix) >= 0;
      for (Map.Entry<String, Entry> entry : entries.tailMap(after ? from : prefix, !after).entrySet()) {
        if (!entry.getKey().startsWith(prefix) || found.size() > limit) {
          break;
        }
        found.add(Map.entry(entry.getKey(), entry.getValue()));
      }
      at = epoch;
    }
    // Encoded outside of the lock, since pages of a large store take a while.
    List<Object> items = new ArrayList<>();
    int bytes = 0;
    boolean more = found.size() > limit;
    for (Map.Entry<String, Entry> entry : found.subList(0, Math.min(limit, found.size()))) {
      Map<String, Object> item = Pack.of("k", entry.getKey(), "value", plain(entry.getValue().value()),
          "stamp", entry.getValue().stamp());
      // A bound of the size in the JSON form.
      bytes += entry.getValue().value() instanceof Copy ? 450 : 2 * Pack.encode(item).length;
      if (bytes > 512 * 1024) {
        more = true;
        break;
      }
      items.add(item);
    }
    return Http.Answer.of(200, Pack.of("entries", items, "more", more, "epoch", at));
  }

  private Http.Answer refused(String node) throws InterruptedException {
    while (modes.get(node) == Mode.CUT) {
      wait(100);
      if (modes.get(node) != Mode.CUT) {
        return null;
      }
    }
    return out || modes.get(node) == Mode.REFUSED ? error(503, "trouble") : null;
  }

  private synchronized Http.Answer serveAlone(String node, Http.Request request) throws Exception {
    while (modes.get(node) == Mode.CUT) {
      wait(100);
      if (modes.get(node) != Mode.CUT) {
        return null;
      }
    }
    if (out || modes.get(node) == Mode.REFUSED) {
      return error(503, "trouble");
    }
    Map<String, Object> body = request.body().length == 0 ? Map.of() : Pack.map(request.body());
    if (body == null) {
      return error(400, "malformed");
    }
    String path = request.path();
    if (path.equals("/watch")) {
      return take(1, 0) ? watch(node, request) : error(429, "limit");
    }
    if (path.equals("/commit")) {
      return commit(node, body);
    }
    if (!take(1, 0)) {
      return error(429, "limit");
    }
    if (path.startsWith("/store/")) {
      String key = path.substring(7);
      Entry entry = entries.get(key);
      return entry == null
          ? Http.Answer.of(404, Pack.of("epoch", epoch))
          : Http.Answer.of(200, Pack.of("k", key, "value", plain(entry.value()), "stamp", entry.stamp(), "hold", entry.lease()));
    }
    if (path.equals("/leases")) {
      long ttl = Pack.number(body, "ttl_ms", 0);
      if (ttl < 100 || ttl > 600_000) {
        return error(400, "ttl_ms");
      }
      Lease lease = new Lease();
      lease.ttlMillis = ttl;
      lease.end = System.nanoTime() + ttl * 1_000_000;
      leases.put(++lastLease, lease);
      return Http.Answer.of(200, Pack.of("hold", lastLease));
    }
    if (path.startsWith("/leases/")) {
      String[] parts = path.split("/");
      long id = Long.parseLong(parts[2]);
      Lease lease = leases.get(id);
      if (lease == null) {
        return error(404, "no such lease");
      }
      if (request.method().equals("DELETE")) {
        end(id);
      } else {
        lease.end = System.nanoTime() + lease.ttlMillis * 1_000_000;
      }
      return Http.Answer.of(200, Pack.of("hold", id));
    }
    return error(400, "no such path");
  }

  private Http.Answer watch(String node, Http.Request request) throws InterruptedException {
    String prefix = request.query().getOrDefault("starts", "");
    long from = Long.parseLong(request.query().getOrDefault("from", "0"));
    long end = System.nanoTime()
        + Math.min(60_000, Long.parseLong(request.query().getOrDefault("hold_ms", "0"))) * 1_000_000;
    while (true) {
      if (modes.get(node) == Mode.OPEN && !out) {
        if (!history.isEmpty() && (history.size() == KEPT_CHANGES || cleared) && history.peek().stamp() > from + 1) {
          return error(410, "too old");
        }
        List<Object> news = new ArrayList<>();
        for (Change change : history) {
          if (change.stamp() > from && change.key().startsWith(prefix)) {
            news.add(change.put()
                ? Pack.of("set", change.key(), "value", change.value(), "stamp", change.stamp())
                : Pack.of("delete", change.key(), "stamp", change.stamp()));
          }
        }
        if (!news.isEmpty() || System.nanoTime() >= end) {
          return Http.Answer.of(200, Pack.of("epoch", epoch, "news", news));
        }
      }
      wait(Math.max(1, Math.min(50, (end - System.nanoTime()) / 1_000_000)));
    }
  }

  private Http.Answer commit(String node, Map<String, Object> body) {
    List<Map<String, Object>> guards = Pack.maps(body, "guards");
    List<Map<String, Object>> then = Pack.maps(body, "then");
    if (!take(1, then.size())) {
      return error(429, "limit");
    }
    Fate fate = filter.fate(node, then);
    if (fate == Fate.LOST) {
      journal.line("state service: transaction of %s lost: %s", node, keys(then));
      return null;
    }
    Http.Answer answer = apply(node, guards, then);
    if (fate == Fate.ANSWER_LOST) {
      journal.line("state service: answer %d to %s lost: %s", answer.status(), node, keys(then));
      return null;
    }
    return answer;
  }

  private static List<Object> keys(List<Map<String, Object>> then) {
    List<Object> keys = new ArrayList<>();
    then.forEach(change -> keys.add(change.containsKey("set") ? "set " + change.get("set") : "delete " + change.get("delete")));
    return keys;
  }

  private Http.Answer apply(String node, List<Map<String, Object>> guards, List<Map<String, Object>> then) {
    for (Map<String, Object> change : then) {
      if (change.containsKey("set") && change.get("hold") instanceof Number lease
          && !leases.containsKey(lease.longValue())) {
        return error(400, "no such lease");
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> guard : guards) {
      if (stamp((String) guard.get("k")) != Pack.number(guard, "stamp", -1)) {
        failed.add(guard.get("k"));
      }
    }
    if (!failed.isEmpty()) {
      return Http.Answer.of(409, Pack.of("failed", failed, "epoch", epoch));
    }
    if (!then.isEmpty()) {
      epoch++;
      for (Map<String, Object> change : then) {
        if (change.containsKey("set")) {
          String key = (String) change.get("set");
          Long lease = change.get("hold") instanceof Number number ? number.longValue() : null;
          entries.put(key, new Entry(change.get("value"), epoch, lease));
          log(new Change(epoch, key, change.get("value"), true));
        } else {
          remove((String) change.get("delete"));
        }
      }
      journal.line("state service: %d by %s: %s", epoch, node, keys(then));
      notifyAll();
    }
    return Http.Answer.of(200, Pack.of("epoch", epoch));
  }
}
