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
import org.oakwalk.core.Span;
import org.oakwalk.core.drain.DisruptionBudget;
import org.oakwalk.core.drain.DrainPlan;
import org.oakwalk.core.drain.DrainPolicy;

/** The blocks {@code drain} and {@code budget} of the operators' file. */
final class DrainFile {
  static final Set<String> BLOCKS = Set.of("drain", "budget");
  private static final int MOST_PLANS = 16;
  private static final int MOST_BUDGETS = 16;

  /** So many names fit into a stored record of 4 KiB beside the rest. */
  private static final int MOST_MACHINES = 100;

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

  private DrainFile(Path file) {
    this.file = file;
  }

  /** Reads both kinds of blocks out of a file's contents. */
  static DrainPolicy read(Path file, Map<String, Object> root) throws BadSettings {
    DrainFile reader = new DrainFile(file);
    List<DrainPlan> plans = new ArrayList<>();
    for (Map.Entry<String, Object> block : Block.named(file, root, "drain", Set.of())) {
      plans.add(reader.plan(block.getKey(), block.getValue()));
    }
    List<DisruptionBudget> budgets = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Map.Entry<String, Object> block :
        Block.named(file, root, "budget", Set.of(DrainPolicy.EVERY_TEAM))) {
      List<?> several = block.getValue() instanceof List<?> list ? list : List.of(block.getValue());
      for (Object fields : several) {
        DisruptionBudget budget = reader.budget(block.getKey(), fields);
        if (!names.add(budget.name())) {
          throw reader.bad("budget \"" + budget.name() + "\" stands there twice");
        }
        budgets.add(budget);
      }
    }
    if (plans.size() > MOST_PLANS || budgets.size() > MOST_BUDGETS) {
      throw reader.bad("more than " + MOST_PLANS + " drains or budgets");
    }
    return new DrainPolicy(plans, budgets);
  }

  /** Looks whether what is declared fits the deployment, and whether plans can end at all. */
  static void check(Path file, DrainPolicy drains, Settings settings) throws BadSettings {
    DrainFile reader = new DrainFile(file);
    for (DrainPlan plan : drains.plans()) {
      for (String zone : plan.zones()) {
        if (!settings.zones().contains(zone)) {
          throw reader.bad("drain \"" + plan.name() + "\": unknown zone " + zone);
        }
      }
    }
    for (DisruptionBudget budget : drains.budgets()) {
      if (!budget.team().equals(DrainPolicy.EVERY_TEAM)
          && !settings.teams().containsKey(budget.team())) {
        throw reader.bad("budget \"" + budget.name() + "\": unknown team " + budget.team());
      }
      boolean nothing =
          budget.maxDown() == 0
              || budget.maxStopsPerHour().isPresent() && budget.maxStopsPerHour().get() == 0;
      for (DrainPlan plan : drains.plans()) {
        if (nothing && plan.status() != DrainPlan.Status.ENDED) {
          throw reader.bad(
              "budget \""
                  + budget.name()
                  + "\" lets nothing be stopped, so drain \""
                  + plan.name()
                  + "\" can never end");
        }
      }
    }
  }

  private BadSettings bad(String what) {
    return new BadSettings(file + ": " + what);
  }

  private DrainPlan plan(String name, Object block) throws BadSettings {
    if (block instanceof List) {
      throw bad("drain \"" + name + "\" stands there twice");
    }
    Block fields = new Block(file, "drain \"" + name + "\"", (Map<?, ?>) block, PLAN_FIELDS);
    double step = fields.number("step", 0, 10_000, 1);
    if (step == 0 || step > 1 && step != Math.floor(step)) {
      throw bad(fields.name() + ": step must be a whole number, or a share between 0 and 1");
    }
    Set<String> machines = fields.texts("machines");
    if (machines.size() > MOST_MACHINES) {
      throw bad(fields.name() + ": more than " + MOST_MACHINES + " machines by name");
    }
    Optional<String> kind = fields.word("kind", Set.of("spot", "ordinary"));
    String status = fields.word("state", Set.of("running", "paused", "ended")).orElse("running");
    String then = fields.word("then", Set.of("replace", "return")).orElse("replace");
    int surge = (int) fields.number("surge", 1, 10_000, step < 1 ? 10_000 : step);
    return new DrainPlan(
        name,
        (long) fields.number("version", 1, 1e15, 1),
        DrainPlan.Status.valueOf(status.toUpperCase(Locale.ROOT)),
        fields.texts("zones"),
        fields.texts("types"),
        kind.map("spot"::equals),
        machines,
        DrainPlan.DrainMode.valueOf(then.toUpperCase(Locale.ROOT)),
        step,
        surge,
        Span.seconds(fields.number("pause_s", 0, 86_400, 0)),
        Span.seconds(fields.number("patience_s", 0, 86_400, 120)),
        Span.seconds(fields.number("replica_waits_s", 0, 86_400, 5)),
        Span.seconds(fields.number("work_waits_s", 0, 86_400, 15)));
  }

  private DisruptionBudget budget(String team, Object block) throws BadSettings {
    if (!(block instanceof Map<?, ?> map)) {
      throw bad("budget is not a block with a name");
    }
    Block fields = new Block(file, "budget \"" + team + "\"", map, BUDGET_FIELDS);
    double down = fields.number("down", 0, 1e6, 1);
    if (down > 1 && down != Math.floor(down)) {
      throw bad(fields.name() + ": down must be a whole number, or a share between 0 and 1");
    }
    double stops = fields.number("stops_per_hour", 0, 1e6, -1);
    return new DisruptionBudget(
        team,
        Optional.ofNullable(fields.text("class")),
        down,
        stops < 0 ? Optional.empty() : Optional.of((int) stops));
  }
}
