package org.oakwalk.daemon;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.drain.DisruptionBudget;
import org.oakwalk.core.drain.DrainPlan;
import org.oakwalk.core.drain.DrainPolicy;

/** Reads and validates the {@code drain} and {@code budget} blocks of the policy file. */
final class DrainPolicyReader {
  static final Set<String> BLOCK_KINDS = Set.of("drain", "budget");
  private static final int MAX_PLANS = 16;
  private static final int MAX_BUDGETS = 16;

  /** This many machine names fit into a stored record of 4 KiB together with its other fields. */
  private static final int MAX_MACHINES_BY_NAME = 100;

  private static final Set<String> PLAN_FIELDS =
      Set.of(
          "version",
          "state",
          "zones",
          "types",
          "kind",
          "machines",
          "then",
          "step",
          "surge",
          "pause_s",
          "patience_s",
          "replica_waits_s",
          "work_waits_s");
  private static final Set<String> BUDGET_FIELDS = Set.of("class", "down", "stops_per_hour");

  private final Path file;

  private DrainPolicyReader(Path file) {
    this.file = file;
  }

  /** Reads all drain plans and disruption budgets from the parsed file. */
  static DrainPolicy read(Path file, Map<String, Object> root) throws InvalidSettingsException {
    DrainPolicyReader reader = new DrainPolicyReader(file);
    List<DrainPlan> plans = new ArrayList<>();
    for (Map.Entry<String, Object> block : HclBlock.blocksOfKind(file, root, "drain", Set.of())) {
      plans.add(reader.parsePlan(block.getKey(), block.getValue()));
    }
    List<DisruptionBudget> budgets = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Map.Entry<String, Object> block :
        HclBlock.blocksOfKind(file, root, "budget", Set.of(DrainPolicy.EVERY_TEAM))) {
      List<?> several = block.getValue() instanceof List<?> list ? list : List.of(block.getValue());
      for (Object fields : several) {
        DisruptionBudget budget = reader.parseBudget(block.getKey(), fields);
        if (!names.add(budget.name())) {
          throw reader.invalid("budget \"" + budget.name() + "\" is defined twice");
        }
        budgets.add(budget);
      }
    }
    if (plans.size() > MAX_PLANS || budgets.size() > MAX_BUDGETS) {
      throw reader.invalid("more than " + MAX_PLANS + " drain or budget blocks");
    }
    return new DrainPolicy(plans, budgets);
  }

  /**
   * Checks that the plans and budgets match the deployment, and that the budgets let every plan
   * end.
   */
  static void validate(Path file, DrainPolicy drains, Settings settings)
      throws InvalidSettingsException {
    DrainPolicyReader reader = new DrainPolicyReader(file);
    for (DrainPlan plan : drains.plans()) {
      for (String zone : plan.zones()) {
        if (!settings.zones().contains(zone)) {
          throw reader.invalid("drain \"" + plan.name() + "\": unknown zone " + zone);
        }
      }
    }
    for (DisruptionBudget budget : drains.budgets()) {
      if (!budget.team().equals(DrainPolicy.EVERY_TEAM)
          && !settings.teams().containsKey(budget.team())) {
        throw reader.invalid("budget \"" + budget.name() + "\": unknown team " + budget.team());
      }
      boolean allowsNoStops =
          budget.maxDown() == 0
              || budget.maxStopsPerHour().isPresent() && budget.maxStopsPerHour().get() == 0;
      for (DrainPlan plan : drains.plans()) {
        if (allowsNoStops && plan.status() != DrainPlan.Status.ENDED) {
          throw reader.invalid(
              "budget \""
                  + budget.name()
                  + "\" allows no stops, so drain \""
                  + plan.name()
                  + "\" can never end");
        }
      }
    }
  }

  private InvalidSettingsException invalid(String problem) {
    return new InvalidSettingsException(file + ": " + problem);
  }

  private DrainPlan parsePlan(String name, Object block) throws InvalidSettingsException {
    if (block instanceof List) {
      throw invalid("drain \"" + name + "\" is defined twice");
    }
    HclBlock fields = new HclBlock(file, "drain \"" + name + "\"", (Map<?, ?>) block, PLAN_FIELDS);
    double concurrency = fields.number("step", 0, 10_000, 1);
    if (concurrency == 0 || concurrency > 1 && concurrency != Math.floor(concurrency)) {
      throw invalid(fields.label() + ": step must be an integer, or a fraction between 0 and 1");
    }
    Set<String> machines = fields.textSet("machines");
    if (machines.size() > MAX_MACHINES_BY_NAME) {
      throw invalid(fields.label() + ": more than " + MAX_MACHINES_BY_NAME + " machine names");
    }
    Optional<String> kind = fields.oneOf("kind", Set.of("spot", "ordinary"));
    String status = fields.oneOf("state", Set.of("running", "paused", "ended")).orElse("running");
    String mode = fields.oneOf("then", Set.of("replace", "return")).orElse("replace");
    int surge = (int) fields.number("surge", 1, 10_000, concurrency < 1 ? 10_000 : concurrency);
    return new DrainPlan(
        name,
        (long) fields.number("version", 1, 1e15, 1),
        DrainPlan.Status.valueOf(status.toUpperCase(Locale.ROOT)),
        fields.textSet("zones"),
        fields.textSet("types"),
        kind.map("spot"::equals),
        machines,
        DrainPlan.DrainMode.valueOf(mode.toUpperCase(Locale.ROOT)),
        concurrency,
        surge,
        TimeSpan.seconds(fields.number("pause_s", 0, 86_400, 0)),
        TimeSpan.seconds(fields.number("patience_s", 0, 86_400, 120)),
        TimeSpan.seconds(fields.number("replica_waits_s", 0, 86_400, 5)),
        TimeSpan.seconds(fields.number("work_waits_s", 0, 86_400, 15)));
  }

  private DisruptionBudget parseBudget(String team, Object block) throws InvalidSettingsException {
    if (!(block instanceof Map<?, ?> map)) {
      throw invalid("budget must be a block with a name");
    }
    HclBlock fields = new HclBlock(file, "budget \"" + team + "\"", map, BUDGET_FIELDS);
    double maxDown = fields.number("down", 0, 1e6, 1);
    if (maxDown > 1 && maxDown != Math.floor(maxDown)) {
      throw invalid(fields.label() + ": down must be an integer, or a fraction between 0 and 1");
    }
    double maxStopsPerHour = fields.number("stops_per_hour", 0, 1e6, -1);
    return new DisruptionBudget(
        team,
        Optional.ofNullable(fields.text("class")),
        maxDown,
        maxStopsPerHour < 0 ? Optional.empty() : Optional.of((int) maxStopsPerHour));
  }
}
