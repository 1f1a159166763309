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
import org.oakwalk.core.exchange.Take;
import org.oakwalk.core.exchange.TakeId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreKeys;

/**
 * Checks exchanges by what is stored and by what jobs there are: nobody is taken from below its
 * guarantee, nothing is taken twice for one need, and nothing is owed once the need has gone.
 */
final class ExchangeRule {
  /** A job may have been within the guarantee for so long before a leader has to know. */
  private static final double GUARANTEE_GRACE_SECONDS = 5;

  /** Beside dwell and patience, for writes, saving and a change of leader. */
  private static final double SETTLEMENT_GRACE_SECONDS = 30;

  private final World world;
  private final Set<TakeId> checkedTransfers = new HashSet<>();
  private final Map<JobId, Double> guaranteedSince = new HashMap<>();
  private final Map<String, Double> demandEndedAt = new HashMap<>();
  private double faultsEndAt;

  ExchangeRule(World world) {
    this.world = world;
  }

  void setFaultsEnd(double seconds) {
    faultsEndAt = seconds;
  }

  private List<Take> storedTransfers() {
    return world.state.rows("exchange").stream().map(Take.class::cast).toList();
  }

  /** Looks at what is stored now; returns the rules that are broken by it, and how. */
  Map<String, String> tick() {
    Map<String, String> broken = new LinkedHashMap<>();
    List<ExchangeTerms> terms = world.plans.exchanges();
    if (terms.isEmpty()) {
      return broken;
    }
    updateGuarantees();
    Map<JobId, Integer> byTaker = new HashMap<>();
    for (Take take : storedTransfers()) {
      if (checkedTransfers.add(take.id())) {
        belowGuarantee(take).ifPresent(how -> broken.put("taken_below_guarantee", how));
      }
      if (take.underWay() || take.state() == Take.State.TAKEN) {
        int count = byTaker.merge(take.taker(), 1, Integer::sum);
        if (count > world.specs.get(take.taker()).tasks()) {
          broken.put("taken_twice", count + " takes are open for " + take.taker());
        }
      }
    }
    for (ExchangeTerms each : terms) {
      unsettledTransfer(each).ifPresent(how -> broken.put("debt_left", how));
    }
    return broken;
  }

  /**
   * A worker stops a task since it was told to. Where only takers could want its room, a take from
   * its job has to be written down by then.
   */
  Optional<String> taskStopped(TaskId task, JobSpec spec) {
    boolean gives = world.plans.exchanges().stream().anyMatch(each -> each.gives(spec));
    if (!gives || spec.gang() || world.plans.hasDrainPlans() || mayBePreempted(spec)) {
      return Optional.empty();
    }
    return storedTransfers().stream().anyMatch(take -> take.giver().equals(spec.id()))
        ? Optional.empty()
        : Optional.of(task + " is stopped, and no take from its job is stored");
  }

  /**
   * Whether a job that takes nothing may have it stopped all the same: one that is stored, also
   * while its user has not been told so yet.
   */
  private boolean mayBePreempted(JobSpec spec) {
    return world.specs.values().stream()
        .filter(other -> other.priority().compareTo(spec.priority()) > 0)
        .filter(other -> world.plans.exchanges().stream().noneMatch(each -> each.takes(other)))
        .anyMatch(other -> mayNeedRoom(other.id()));
  }

  /**
   * Whether a job may want room: as its user knows, or as is stored, which may be long before the
   * user gets the answer, if ever.
   */
  private boolean mayNeedRoom(JobId id) {
    boolean stored =
        world.state.value(StoreKeys.job(id)).orElse(null) instanceof JobRecord record
            && record.phase() == JobRecord.Phase.OPEN;
    return stored || world.rules.isAccepted(id) && !world.rules.isReportedEnded(id);
  }

  /** Each team's first unfinished jobs that fit into its guarantee together. */
  private void updateGuarantees() {
    Set<JobId> within = new HashSet<>();
    for (Settings.Team team : world.settings.teams().values()) {
      Resources sum = Resources.NONE;
      for (JobId id : world.rules.acceptedJobs()) {
        JobSpec spec = world.specs.get(id);
        if (spec.team().equals(team.name()) && !world.rules.isReportedEnded(id)) {
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

  private Optional<String> belowGuarantee(Take take) {
    Double since = guaranteedSince.get(take.giver());
    String takers = world.specs.get(take.taker()).team();
    boolean own = takers.equals(take.giverTeam());
    return !own && since != null && world.time.seconds() - since > GUARANTEE_GRACE_SECONDS
        ? Optional.of(take.giver() + " of " + take.giverTeam() + " is within its guarantee")
        : Optional.empty();
  }

  private Optional<String> unsettledTransfer(ExchangeTerms each) {
    boolean needed =
        world.rules.acceptedJobs().stream()
            .anyMatch(id -> each.takes(world.specs.get(id)) && !world.rules.isReportedEnded(id));
    if (needed) {
      demandEndedAt.remove(each.name());
      return Optional.empty();
    }
    double since = demandEndedAt.computeIfAbsent(each.name(), name -> world.time.seconds());
    double until =
        Math.max(since, faultsEndAt)
            + each.dwell().asSeconds()
            + each.patience().asSeconds()
            + SETTLEMENT_GRACE_SECONDS;
    return storedTransfers().stream()
        .filter(take -> take.exchange().equals(each.name()) && world.time.seconds() > until)
        .findFirst()
        .map(take -> "take " + take.id() + " from " + take.giver() + " is still open");
  }
}
