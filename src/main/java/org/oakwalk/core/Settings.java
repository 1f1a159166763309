package org.oakwalk.core;

import java.util.List;
import java.util.Map;

/**
 * What the platform says of the deployment, as far as the core needs it.
 *
 * @param maxClockError by how much the time of day may be off, either way
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
    Span maxClockError) {

  /** A team's guarantee and limit; zero means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** Whether there is a limit to what it uses. */
    public boolean limited() {
      return cpusMax > 0 || gpusMax > 0;
    }
  }

  /** What is expected of a class of jobs. */
  public record Objective(
      String kind, String jobClass, double withinSeconds, double share, double runTimeFactor) {}

  /** The workers' timing. */
  public record WorkerTiming(Span reportInterval, Span leaseDuration, Span cancelDeadline) {
    private static final Span RELAY_MARGIN = Span.seconds(4);
    private static final Span GRACE_MARGIN = Span.seconds(2);

    /** A leader's copy of the store lags by less, as long as the store answers as usual. */
    private static final Span MIN_GRACE = Span.millis(1800);

    private static final double SUSPECT_AFTER_REPORTS = 2.2;

    /** How long a machine may be silent before it is suspected to be out of reach or broken. */
    public Span suspectAfter() {
      return reportInterval.times(SUSPECT_AFTER_REPORTS);
    }

    /**
     * How long followers may keep leases alive for a leader that workers can't reach. A start
     * command that a cut holds back is executed as long as its session lives: by then no user may
     * have been told for more than {@code cancel} that its job is cancelled.
     */
    public Span relayWindow() {
      Span window = cancelDeadline.minus(leaseDuration.times(2)).minus(RELAY_MARGIN);
      // A shorter time gains nothing over the lease that the workers have anyway.
      return window.compareTo(leaseDuration.times(0.5)) > 0 ? window : Span.millis(0);
    }

    /** Whether followers keep leases alive at all. */
    public boolean relaysLeases() {
      return relayWindow().millis() > 0;
    }

    /**
     * How long after a moment from which on a withdrawal may be unknown here, or its tasks may yet
     * start, workers may be answered; for a leader that is the begin of its last read of the store.
     * An answer keeps tasks alive for a lease, and by then their sessions end within {@code cancel}
     * of that moment. Settings that leave no time for that leave it an ordinary copy's lag, without
     * which it could never answer.
     */
    public Span graceLimit() {
      Span limit = cancelDeadline.minus(leaseDuration).minus(GRACE_MARGIN);
      return limit.compareTo(MIN_GRACE) > 0 ? limit : MIN_GRACE;
    }

    /**
     * Whether a task of a cancelled job is gone in time whatever is out of reach. Otherwise a lease
     * alone may outlast what cancelling allows.
     */
    public boolean meetsCancelDeadline() {
      return !graceLimit().plus(leaseDuration.plusClockDrift()).isLongerThan(cancelDeadline);
    }
  }

  /** Limits of the state service. */
  public record StateLimits(
      double requestsPerSecond, double writesPerSecond, double valueKb, int changesPerCommit) {}

  /** Limits of the cloud. */
  public record CloudLimits(double requestsPerSecond, Span listLag) {}
}
