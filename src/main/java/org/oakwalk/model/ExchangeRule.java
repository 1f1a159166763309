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
  private static final double KNOWN_AFTER = 5;

  /** Beside dwell and patience, for writes, saving and a change of leader. */
  private static final double SETTLES_WITHIN = 30;

  private final World world;
  private final Set<TakeId> seen = new HashSet<>();
  private final Map<JobId, Double> guaranteedSince = new HashMap<>();
  private final Map<String, Double> needlessSince = new HashMap<>();
  private double calmAfter;

  ExchangeRule(World world) {
    this.world = world;
  }

  void calmAfter(double seconds) {
    calmAfter = seconds;
  }

  private List<Take> takes() {
    return world.state.rows("exchange").stream().map(Take.class::cast).toList();
  }

  /** Looks at what is stored now; returns the rules that are broken by it, and how. */
  Map<String, String> tick() {
    Map<String, String> broken = new LinkedHashMap<>();
    List<ExchangeTerms> terms = world.scenarioPolicy.exchanges();
    if (terms.isEmpty()) {
      return broken;
    }
    survey();
    Map<JobId, Integer> byTaker = new HashMap<>();
    for (Take take : takes()) {
      if (seen.add(take.id())) {
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
      debt(each).ifPresent(how -> broken.put("debt_left", how));
    }
    return broken;
  }

  /**
   * A worker stops a task since it was told to. Where only takers could want its room, a take from
   * its job has to be written down by then.
   */
  Optional<String> stopped(TaskId task, JobSpec spec) {
    boolean gives = world.scenarioPolicy.exchanges().stream().anyMatch(each -> each.gives(spec));
    if (!gives || spec.gang() || world.scenarioPolicy.drains() || othersWant(spec)) {
      return Optional.empty();
    }
    return takes().stream().anyMatch(take -> take.giver().equals(spec.id()))
        ? Optional.empty()
        : Optional.of(task + " is stopped, and no take from its job is stored");
  }

  /**
   * Whether a job that takes nothing may have it stopped all the same: one that is stored, also
   * while its user has not been told so yet.
   */
  private boolean othersWant(JobSpec spec) {
    return world.specs.values().stream()
        .filter(other -> other.priority().compareTo(spec.priority()) > 0)
        .filter(
            other -> world.scenarioPolicy.exchanges().stream().noneMatch(each -> each.takes(other)))
        .anyMatch(other -> mayWant(other.id()));
  }

  /**
   * Whether a job may want room: as its user knows, or as is stored, which may be long before the
   * user gets the answer, if ever.
   */
  private boolean mayWant(JobId id) {
    boolean stored =
        world.state.value(StoreKeys.job(id)).orElse(null) instanceof JobRecord record
            && record.phase() == JobRecord.Phase.OPEN;
    return stored || world.invariants.accepted(id) && !world.invariants.over(id);
  }

  /** Each team's first unfinished jobs that fit into its guarantee together. */
  private void survey() {
    Set<JobId> within = new HashSet<>();
    for (Settings.Team team : world.settings.teams().values()) {
      Resources sum = Resources.NONE;
      for (JobId id : world.invariants.acceptedInOrder()) {
        JobSpec spec = world.specs.get(id);
        if (spec.team().equals(team.name()) && !world.invariants.over(id)) {
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
    return !own && since != null && world.time.seconds() - since > KNOWN_AFTER
        ? Optional.of(take.giver() + " of " + take.giverTeam() + " is within its guarantee")
        : Optional.empty();
  }

  private Optional<String> debt(ExchangeTerms each) {
    boolean needed =
        world.invariants.acceptedInOrder().stream()
            .anyMatch(id -> each.takes(world.specs.get(id)) && !world.invariants.over(id));
    if (needed) {
      needlessSince.remove(each.name());
      return Optional.empty();
    }
    double since = needlessSince.computeIfAbsent(each.name(), name -> world.time.seconds());
    double until =
        Math.max(since, calmAfter)
            + each.dwell().asSeconds()
            + each.patience().asSeconds()
            + SETTLES_WITHIN;
    return takes().stream()
        .filter(take -> take.exchange().equals(each.name()) && world.time.seconds() > until)
        .findFirst()
        .map(take -> "take " + take.id() + " from " + take.giver() + " is still open");
  }
}
