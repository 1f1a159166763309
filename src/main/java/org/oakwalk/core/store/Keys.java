package org.oakwalk.core.store;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Token;

/** Names of the keys in the state service. */
public final class Keys {
  /**
   * One watch covers everything below: the leader key, the jobs, and what else all nodes follow.
   */
  public static final String WATCHED = "oak/a/";

  /** The cloud's machine types, for nodes that can't ask the cloud. */
  public static final String TYPES = WATCHED + "types";

  public static final String LEADER = WATCHED + "leader";
  public static final String RELAYS = WATCHED + "relay/";

  /** Plans to empty machines. */
  public static final String DRAINS = WATCHED + "drain/";

  /** Stops that were granted of late. */
  public static final String STOPS = WATCHED + "stops";

  /** What operators declare of dawns, headroom and exchanges. */
  public static final String PRODUCT = WATCHED + "product";

  /** Records that leaders keep for their successors; nobody watches them. */
  public static final String SHARED = "oak/shared/";

  public static final String JOBS = WATCHED + "job/";
  public static final String DONE = "oak/done/";
  public static final String MACHINES = "oak/machine/";

  private static final Pattern PART = Pattern.compile(DONE + "([^/]+)/([0-9]{1,6})");

  private Keys() {}

  public static String relay(String zone) {
    return RELAYS + zone;
  }

  public static String drain(String name) {
    return DRAINS + name;
  }

  /** Which revision of a shared record counts. */
  public static String sharedHead(String name) {
    return SHARED + name + "/head";
  }

  /** A part of a shared record's revision. */
  public static String sharedPart(String name, int slot, int index) {
    return SHARED + name + "/" + slot + "/" + index;
  }

  public static String job(JobId id) {
    return JOBS + id.value();
  }

  /** The so manieth list of machines that was stored under a token; none has this name again. */
  public static String machines(Token token, long number) {
    return MACHINES + token + "/" + number;
  }

  /** Whether a key below {@link #MACHINES} is that of a list rather than of one machine. */
  public static boolean listsMachines(String key) {
    return key.indexOf('/', MACHINES.length()) >= 0;
  }

  /** Finished tasks of the job from {@code chunk} times the chunk size on. */
  public static String done(JobId id, int chunk) {
    return DONE + id.value() + "/" + chunk;
  }

  /** Which part of which job's results stands under a key. */
  public record Part(JobId job, int chunk) {}

  /** Reads the name of a part of results; empty if it is none. */
  public static Optional<Part> part(String key) {
    Matcher matcher = PART.matcher(key);
    return matcher.matches() && JobId.isWellFormed(matcher.group(1))
        ? Optional.of(new Part(new JobId(matcher.group(1)), Integer.parseInt(matcher.group(2))))
        : Optional.empty();
  }
}
