package org.oakwalk.core.store;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Token;

/** Names of the keys in the state service. A prefix ends in a slash. */
public final class StoreKeys {
  /**
   * Prefix of the keys that every node follows with a single watch: the leader key, the jobs, and
   * other state that all nodes need.
   */
  public static final String WATCHED_PREFIX = "oak/a/";

  /** The cloud's machine types, for nodes that can't reach the cloud. */
  public static final String MACHINE_TYPES = WATCHED_PREFIX + "types";

  /** The elected leader. Its revision is the fencing token of the term. */
  public static final String LEADER = WATCHED_PREFIX + "leader";

  /** Announcements, one per zone, that followers may renew the leases of workers there. */
  public static final String RELAY_PREFIX = WATCHED_PREFIX + "relay/";

  /** Drain plans. */
  public static final String DRAIN_PREFIX = WATCHED_PREFIX + "drain/";

  /** Recent task stops that were granted under disruption budgets. */
  public static final String RECENT_STOPS = WATCHED_PREFIX + "stops";

  /** Terms that operators declare for dawns, headroom and exchanges. */
  public static final String PRODUCT_TERMS = WATCHED_PREFIX + "product";

  /** Shared records: state that a leader keeps for its successors. They are not watched. */
  public static final String SHARED_PREFIX = "oak/shared/";

  /** Job records. */
  public static final String JOB_PREFIX = WATCHED_PREFIX + "job/";

  /** Finished tasks of each job, in chunks. */
  public static final String DONE_PREFIX = "oak/done/";

  /** Machines that may have been sent commands, singly or in lists. */
  public static final String MACHINE_PREFIX = "oak/machine/";

  private static final Pattern DONE_CHUNK_PATTERN =
      Pattern.compile(DONE_PREFIX + "([^/]+)/([0-9]{1,6})");

  private StoreKeys() {}

  /** Key of the lease relay announcement for a zone. */
  public static String relay(String zone) {
    return RELAY_PREFIX + zone;
  }

  /** Key of the drain plan with this name. */
  public static String drain(String name) {
    return DRAIN_PREFIX + name;
  }

  /** Key of a shared record's head, which names the revision in force. */
  public static String sharedHead(String name) {
    return SHARED_PREFIX + name + "/head";
  }

  /** Key of one part of a shared record's revision. */
  public static String sharedPart(String name, int slot, int index) {
    return SHARED_PREFIX + name + "/" + slot + "/" + index;
  }

  /** Key of the record of a job. */
  public static String job(JobId id) {
    return JOB_PREFIX + id.value();
  }

  /**
   * Key of a list of machines.
   *
   * @param token of the leader that stores the list
   * @param number counts the lists stored under this token, so that no key is used twice
   */
  public static String machineList(Token token, long number) {
    return MACHINE_PREFIX + token + "/" + number;
  }

  /** Returns true if a key below {@link #MACHINE_PREFIX} holds a list and not a single machine. */
  public static boolean isMachineList(String key) {
    return key.indexOf('/', MACHINE_PREFIX.length()) >= 0;
  }

  /**
   * Key of a chunk of finished tasks, which begins at task {@code chunk} times {@link
   * DoneBitmap#TASKS_PER_CHUNK}.
   */
  public static String doneChunk(JobId id, int chunk) {
    return DONE_PREFIX + id.value() + "/" + chunk;
  }

  /** The job and the chunk number that a chunk key names. */
  public record DoneChunkKey(JobId job, int chunk) {}

  /** Parses the key of a chunk of finished tasks; empty if the key is not one. */
  public static Optional<DoneChunkKey> parseDoneChunk(String key) {
    Matcher matcher = DONE_CHUNK_PATTERN.matcher(key);
    return matcher.matches() && JobId.isWellFormed(matcher.group(1))
        ? Optional.of(
            new DoneChunkKey(new JobId(matcher.group(1)), Integer.parseInt(matcher.group(2))))
        : Optional.empty();
  }
}
