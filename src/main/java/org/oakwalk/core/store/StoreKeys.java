package org.oakwalk.core.store;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Token;

/** Names of the keys in the state service. */
public final class StoreKeys {
  /**
   * One watch covers everything below: the leader key, the jobs, and what else all nodes follow.
   */
  public static final String WATCHED_PREFIX = "oak/a/";

  /** The cloud's machine types, for nodes that can't ask the cloud. */
  public static final String MACHINE_TYPES = WATCHED_PREFIX + "types";

  public static final String LEADER = WATCHED_PREFIX + "leader";
  public static final String RELAY_PREFIX = WATCHED_PREFIX + "relay/";

  /** Plans to empty machines. */
  public static final String DRAIN_PREFIX = WATCHED_PREFIX + "drain/";

  /** Stops that were granted of late. */
  public static final String RECENT_STOPS = WATCHED_PREFIX + "stops";

  /** What operators declare of dawns, headroom and exchanges. */
  public static final String PRODUCT_TERMS = WATCHED_PREFIX + "product";

  /** Records that leaders keep for their successors; nobody watches them. */
  public static final String SHARED_PREFIX = "oak/shared/";

  public static final String JOB_PREFIX = WATCHED_PREFIX + "job/";
  public static final String DONE_PREFIX = "oak/done/";
  public static final String MACHINE_PREFIX = "oak/machine/";

  private static final Pattern DONE_CHUNK_PATTERN =
      Pattern.compile(DONE_PREFIX + "([^/]+)/([0-9]{1,6})");

  private StoreKeys() {}

  public static String relay(String zone) {
    return RELAY_PREFIX + zone;
  }

  public static String drain(String name) {
    return DRAIN_PREFIX + name;
  }

  /** Which revision of a shared record counts. */
  public static String sharedHead(String name) {
    return SHARED_PREFIX + name + "/head";
  }

  /** A part of a shared record's revision. */
  public static String sharedPart(String name, int slot, int index) {
    return SHARED_PREFIX + name + "/" + slot + "/" + index;
  }

  public static String job(JobId id) {
    return JOB_PREFIX + id.value();
  }

  /** The so manieth list of machines that was stored under a token; none has this name again. */
  public static String machineList(Token token, long number) {
    return MACHINE_PREFIX + token + "/" + number;
  }

  /** Whether a key below {@link #MACHINE_PREFIX} is that of a list rather than of one machine. */
  public static boolean isMachineList(String key) {
    return key.indexOf('/', MACHINE_PREFIX.length()) >= 0;
  }

  /** Finished tasks of the job from {@code chunk} times the chunk size on. */
  public static String doneChunk(JobId id, int chunk) {
    return DONE_PREFIX + id.value() + "/" + chunk;
  }

  /** Which part of which job's results stands under a key. */
  public record DoneChunkKey(JobId job, int chunk) {}

  /** Reads the name of a part of results; empty if it is none. */
  public static Optional<DoneChunkKey> parseDoneChunk(String key) {
    Matcher matcher = DONE_CHUNK_PATTERN.matcher(key);
    return matcher.matches() && JobId.wellFormed(matcher.group(1))
        ? Optional.of(
            new DoneChunkKey(new JobId(matcher.group(1)), Integer.parseInt(matcher.group(2))))
        : Optional.empty();
  }
}
