package org.oakwalk.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.exchange.CapacityTransfer;
import org.oakwalk.core.exchange.TransferId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreKeys;

/**
 * Checks capacity transfers against the stored records and the jobs: no job is taken from while it
 * is within its team's guarantee, one demand is not served by two transfers, and no transfer stays
 * open after the demand has ended.
 */
final class ExchangeRule {
  /** Time in seconds after which a leader has to know that a job is within its team's guarantee. */
  private static final double GUARANTEE_GRACE_SECONDS = 5;

  /**
   * Time in seconds, beyond return delay and hold timeout, for writes, checkpoints and a change of
   * leader.
   */
  private static final double SETTLEMENT_GRACE_SECONDS = 30;

  private final World world;
  private final Set<TransferId> checkedTransfers = new HashSet<>();
  private final Map<JobId, Double> guaranteedSince = new HashMap<>();
  private final Map<String, Double> demandEndedAt = new HashMap<>();
  private double faultsEndAt;

  ExchangeRule(World world) {
    this.world = world;
  }

  void setFaultsEnd(double seconds) {
    faultsEndAt = seconds;
  }

  private List<CapacityTransfer> storedTransfers() {
    return world.state.rows("exchange").stream().map(CapacityTransfer.class::cast).toList();
  }

  /** Checks the stored transfers, and returns the violated rules with a description of each. */
  Map<String, String> tick() {
    Map<String, String> violations = new LinkedHashMap<>();
    List<ExchangeTerms> terms = world.scenarioPolicy.exchanges();
    if (terms.isEmpty()) {
      return violations;
    }
    updateGuarantees();
    Map<JobId, Integer> byTaker = new HashMap<>();
    for (CapacityTransfer transfer : storedTransfers()) {
      if (checkedTransfers.add(transfer.id())) {
        belowGuarantee(transfer)
            .ifPresent(description -> violations.put("taken_below_guarantee", description));
      }
      if (transfer.isPending() || transfer.state() == CapacityTransfer.State.TAKEN) {
        int count = byTaker.merge(transfer.taker(), 1, Integer::sum);
        if (count > world.specs.get(transfer.taker()).tasks()) {
          violations.put("taken_twice", count + " transfers are open for " + transfer.taker());
        }
      }
    }
    for (ExchangeTerms exchange : terms) {
      unsettledTransfer(exchange)
          .ifPresent(description -> violations.put("debt_left", description));
    }
    return violations;
  }

  /**
   * Records that a worker stopped a task on a leader's order. If only takers could need its room, a
   * transfer from its job has to be stored by then.
   */
  Optional<String> taskStopped(TaskId task, JobSpec spec) {
    boolean isGiver =
        world.scenarioPolicy.exchanges().stream().anyMatch(exchange -> exchange.isGiver(spec));
    if (!isGiver || spec.gang() || world.scenarioPolicy.hasDrainPlans() || mayBePreempted(spec)) {
      return Optional.empty();
    }
    return storedTransfers().stream().anyMatch(transfer -> transfer.giver().equals(spec.id()))
        ? Optional.empty()
        : Optional.of(task + " was stopped, and no transfer from its job is stored");
  }

  /**
   * Whether a job with a higher priority that is no taker may preempt a job. Such a job has to be
   * stored, but its user need not have the answer yet.
   */
  private boolean mayBePreempted(JobSpec spec) {
    return world.specs.values().stream()
        .filter(other -> other.priority().compareTo(spec.priority()) > 0)
        .filter(
            other ->
                world.scenarioPolicy.exchanges().stream()
                    .noneMatch(exchange -> exchange.isTaker(other)))
        .anyMatch(other -> mayNeedCapacity(other.id()));
  }

  /**
   * Whether a job may need room: it is stored as open, or its user has been told so. The record may
   * be stored long before the user gets the answer, if it ever arrives.
   */
  private boolean mayNeedCapacity(JobId id) {
    boolean stored =
        world.state.value(StoreKeys.job(id)).orElse(null) instanceof JobRecord record
            && record.phase() == JobRecord.Phase.OPEN;
    return stored || world.invariants.isAccepted(id) && !world.invariants.isReportedEnded(id);
  }

  /** Determines the first unfinished jobs of each team that together fit into its guarantee. */
  private void updateGuarantees() {
    Set<JobId> within = new HashSet<>();
    for (Settings.Team team : world.settings.teams().values()) {
      Resources sum = Resources.NONE;
      for (JobId id : world.invariants.acceptedJobs()) {
        JobSpec spec = world.specs.get(id);
        if (spec.team().equals(team.name()) && !world.invariants.isReportedEnded(id)) {
          sum = sum.plus(spec.resources().times(spec.tasks()));
          if (sum.cpus() > team.cpus() + 1e-6 || sum.gpus() > team.gpus() + 1e-6) {
            break;
          }
          within.add(id);
        }
      }
    }
    guaranteedSince.keySet().retainAll(within);
    within.forEach(id -> guaranteedSince.putIfAbsent(id, world.time.seconds()));
  }

  /** Returns a description if a transfer takes from a job within its team's guarantee. */
  private Optional<String> belowGuarantee(CapacityTransfer transfer) {
    Double since = guaranteedSince.get(transfer.giver());
    String takerTeam = world.specs.get(transfer.taker()).team();
    boolean sameTeam = takerTeam.equals(transfer.giverTeam());
    return !sameTeam && since != null && world.time.seconds() - since > GUARANTEE_GRACE_SECONDS
        ? Optional.of(transfer.giver() + " of " + transfer.giverTeam() + " is within its guarantee")
        : Optional.empty();
  }

  /** Returns a description of a transfer that is open too long after its demand has ended. */
  private Optional<String> unsettledTransfer(ExchangeTerms exchange) {
    boolean needed =
        world.invariants.acceptedJobs().stream()
            .anyMatch(
                id ->
                    exchange.isTaker(world.specs.get(id)) && !world.invariants.isReportedEnded(id));
    if (needed) {
      demandEndedAt.remove(exchange.name());
      return Optional.empty();
    }
    double since = demandEndedAt.computeIfAbsent(exchange.name(), name -> world.time.seconds());
    double settledBy =
        Math.max(since, faultsEndAt)
            + exchange.returnDelay().asSeconds()
            + exchange.holdTimeout().asSeconds()
            + SETTLEMENT_GRACE_SECONDS;
    return storedTransfers().stream()
        .filter(
            transfer ->
                transfer.exchangeName().equals(exchange.name()) && world.time.seconds() > settledBy)
        .findFirst()
        .map(
            transfer ->
                "transfer "
                    + transfer.id()
                    + " from "
                    + transfer.giver()
                    + " is still open after its demand has ended");
  }
}
