package org.oakwalk.core;

import java.util.List;
import java.util.Map;

/**
 * Deployment settings from the platform, as far as the core needs them.
 *
 * @param maxClockError maximum error of the time-of-day clock in either direction
 */
public record Settings(
    NodeId node,
    String zone,
    List<NodeId> peers,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTiming workers,
    StateLimits state,
    CloudLimits cloud,
    TimeSpan maxClockError) {

  /** A team's guarantee and limit; zero means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** Whether the team's usage is limited. */
    public boolean limited() {
      return cpusMax > 0 || gpusMax > 0;
    }
  }

  /**
   * A service-level objective for a class of jobs.
   *
   * @param kind what the objective limits, for example {@code finished} or {@code wait}
   * @param withinSeconds target time for kinds with a fixed limit
   * @param share share of the jobs that must meet the target
   * @param deadlineFactor for kinds relative to a job's deadline, the target as a multiple of it
   */
  public record Objective(
      String kind, String jobClass, double withinSeconds, double share, double deadlineFactor) {}

  /**
   * Timing of workers.
   *
   * @param cancelDeadline time within which all tasks of a cancelled job must have ended
   */
  public record WorkerTiming(
      TimeSpan reportInterval, TimeSpan leaseDuration, TimeSpan cancelDeadline) {
    private static final TimeSpan RELAY_MARGIN = TimeSpan.seconds(4);
    private static final TimeSpan GRACE_MARGIN = TimeSpan.seconds(2);

    /** A leader's copy of the store lags by less than this while the store answers normally. */
    private static final TimeSpan MIN_GRACE = TimeSpan.millis(1800);

    /** Silence after which a machine is suspected, in report intervals. */
    private static final double SUSPECT_AFTER_REPORTS = 2.2;

    /** How long a machine may be silent before it is suspected to be unreachable or broken. */
    public TimeSpan suspectAfter() {
      return reportInterval.times(SUSPECT_AFTER_REPORTS);
    }

    /**
     * How long followers may renew leases for a leader that workers cannot reach. A start command
     * delayed by a partition is executed as long as its session lives; by then at most {@code
     * cancelDeadline} may have passed since the user was told that the job is cancelled.
     */
    public TimeSpan relayWindow() {
      TimeSpan window = cancelDeadline.minus(leaseDuration.times(2)).minus(RELAY_MARGIN);
      // A shorter window gains nothing over the lease that the workers hold in any case.
      return window.compareTo(leaseDuration.times(0.5)) > 0 ? window : TimeSpan.millis(0);
    }

    /** Whether followers renew leases for the leader at all. */
    public boolean relaysLeases() {
      return relayWindow().millis() > 0;
    }

    /**
     * How long workers may be answered after the earliest moment from which a withdrawal may be
     * unknown to this node, or its tasks may still start; for a leader that moment is the start of
     * its last store read. An answer keeps tasks alive for one lease, so their sessions end within
     * {@code cancelDeadline} of that moment. If the settings leave no time for this, the limit is
     * the normal lag of a store copy, without which the leader could never answer.
     */
    public TimeSpan graceLimit() {
      TimeSpan limit = cancelDeadline.minus(leaseDuration).minus(GRACE_MARGIN);
      return limit.compareTo(MIN_GRACE) > 0 ? limit : MIN_GRACE;
    }

    /**
     * Whether tasks of a cancelled job end within the cancel deadline whatever is unreachable. If
     * not, a single lease may outlast the deadline.
     */
    public boolean meetsCancelDeadline() {
      return !graceLimit().plus(leaseDuration.plusClockDrift()).isLongerThan(cancelDeadline);
    }
  }

  /** Request and size limits of the state service. */
  public record StateLimits(
      double requestsPerSecond, double writesPerSecond, double valueKb, int changesPerCommit) {}

  /** Request limits of the cloud, and the lag of its machine list. */
  public record CloudLimits(double requestsPerSecond, TimeSpan listLag) {}
}
