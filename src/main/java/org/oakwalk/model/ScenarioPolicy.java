package org.oakwalk.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.drain.DisruptionBudget;
import org.oakwalk.core.drain.DrainPlan;
import org.oakwalk.core.drain.DrainPolicy;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.ProductTerms;

/** Policy and product files of a scenario. A node reads its file when it starts. */
final class ScenarioPolicy {
  /** Time within which every controller has seen a drain plan in its file. */
  private static final double MAX_PLAN_PROPAGATION_SECONDS = 20;

  private final ScenarioLine settingsLine;
  private final List<ScenarioLine> lines;
  private final QueueOrder queueOrder;
  private final List<DisruptionBudget> budgets = new ArrayList<>();

  /**
   * Creates the files of a scenario.
   *
   * @param settingsLine settings line of the scenario
   * @param lines lines of the scenario
   * @param queueOrder queueing method of the controllers
   */
  ScenarioPolicy(ScenarioLine settingsLine, List<ScenarioLine> lines, QueueOrder queueOrder) {
    this.queueOrder = queueOrder;
    this.settingsLine = settingsLine;
    this.lines = lines;
    for (ScenarioLine line : lines) {
      if (line.word(0).equals("budget")) {
        budgets.add(parseBudget(line));
      }
    }
  }

  /** Returns the policy in the file of a node at this time. */
  Policy policyFor(NodeId node, double seconds) {
    Policy policy = Policy.defaults();
    Map<String, DrainPlan> plans = new LinkedHashMap<>();
    for (ScenarioLine line : lines) {
      boolean appliesToNode = line.text("on", node.value()).equals(node.value());
      if (line.word(0).equals("drain") && appliesToNode && line.number("from", 0) <= seconds) {
        plans.put(line.word(1), parseDrainPlan(line));
      }
    }
    ProductTerms terms = new ProductTermsParser(lines).termsFor(node, seconds);
    return new Policy(
        queueOrder.scoring(policy.scoring()),
        policy.placement(),
        policy.roundInterval(),
        policy.capacity(),
        (int) settingsLine.number("open", policy.maxOpenJobs()),
        new DrainPolicy(List.copyOf(plans.values()), budgets),
        queueOrder == QueueOrder.PLANNED ? terms : withoutDeadlines(terms));
  }

  private static ProductTerms withoutDeadlines(ProductTerms terms) {
    return terms.headrooms().isEmpty() && terms.exchanges().isEmpty()
        ? ProductTerms.NONE
        : new ProductTerms(terms.version(), List.of(), terms.headrooms(), terms.exchanges());
  }

  /**
   * Returns the batch deadlines that the file of any node declares at any time; of several with one
   * name, the last.
   */
  List<BatchDeadlineTerms> batchDeadlines() {
    return new ProductTermsParser(lines).batchDeadlines();
  }

  /** Returns the offset of the wall clock from the simulated time, in seconds. */
  double clockOffset() {
    return settingsLine.number("clock", 0);
  }

  /** Returns the exchanges that any file declares. */
  List<ExchangeTerms> exchanges() {
    return new ProductTermsParser(lines).exchanges();
  }

  /** Whether any file declares a drain plan. */
  boolean hasDrainPlans() {
    return lines.stream().anyMatch(line -> line.word(0).equals("drain"));
  }

  /** Whether any file may reserve room for some jobs, by headroom or an exchange. */
  boolean mayReserveCapacity() {
    return lines.stream()
        .map(line -> line.word(0))
        .anyMatch(word -> word.equals("headroom") || word.equals("exchange"));
  }

  /**
   * Whether a drain plan may select a machine that was rented at this time; a plan selects none
   * that were rented after it.
   */
  boolean mayDrain(double rentedSeconds) {
    return lines.stream()
        .filter(line -> line.word(0).equals("drain"))
        .anyMatch(line -> rentedSeconds <= line.number("from", 0) + MAX_PLAN_PROPAGATION_SECONDS);
  }

  List<DisruptionBudget> budgets() {
    return budgets;
  }

  private static DisruptionBudget parseBudget(ScenarioLine line) {
    int stops = (int) line.number("stops", -1);
    return new DisruptionBudget(
        line.word(1),
        Optional.ofNullable(line.text("class", null)),
        line.number("down", 1),
        stops < 0 ? Optional.empty() : Optional.of(stops));
  }

  private static DrainPlan parseDrainPlan(ScenarioLine line) {
    String kind = line.text("kind", "");
    return new DrainPlan(
        line.word(1),
        (long) line.number("version", 1),
        DrainPlan.Status.valueOf(line.text("state", "running").toUpperCase(Locale.ROOT)),
        parseSet(line, "zones"),
        parseSet(line, "types"),
        kind.isEmpty() ? Optional.empty() : Optional.of(kind.equals("spot")),
        parseSet(line, "machines"),
        DrainPlan.DrainMode.valueOf(line.text("then", "replace").toUpperCase(Locale.ROOT)),
        line.number("step", 1),
        (int) line.number("surge", line.number("step", 1)),
        TimeSpan.seconds(line.number("pause", 0)),
        TimeSpan.seconds(line.number("patience", 30)),
        TimeSpan.seconds(line.number("replicawaits", 5)),
        TimeSpan.seconds(line.number("workwaits", 15)));
  }

  private static Set<String> parseSet(ScenarioLine line, String name) {
    String text = line.text(name, "");
    return text.isEmpty() ? Set.of() : Set.of(text.split(","));
  }
}
