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
import org.oakwalk.core.Span;
import org.oakwalk.core.drain.Budget;
import org.oakwalk.core.drain.DrainPlan;
import org.oakwalk.core.drain.Drains;
import org.oakwalk.core.product.DawnTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.ProductTerms;

/** What stands in the operators' files of a scenario: a node reads its file when it starts. */
final class Plans {
  /** Within so many seconds every controller has seen a plan that stands in its file. */
  private static final double PLAN_SEEN_SECONDS = 20;

  private final ScenarioLine base;
  private final List<ScenarioLine> lines;
  private final QueueOrder order;
  private final List<Budget> budgets = new ArrayList<>();

  /**
   * The files of a scenario.
   *
   * @param base its line of settings
   */
  Plans(ScenarioLine base, List<ScenarioLine> lines, QueueOrder order) {
    this.order = order;
    this.base = base;
    this.lines = lines;
    for (ScenarioLine line : lines) {
      if (line.word(0).equals("budget")) {
        budgets.add(budget(line));
      }
    }
  }

  /** The file as a node finds it at this time. */
  Policy policy(NodeId node, double seconds) {
    Policy policy = Policy.defaults();
    Map<String, DrainPlan> plans = new LinkedHashMap<>();
    for (ScenarioLine line : lines) {
      boolean here = line.text("on", node.value()).equals(node.value());
      if (line.word(0).equals("drain") && here && line.number("from", 0) <= seconds) {
        plans.put(line.word(1), plan(line));
      }
    }
    ProductTerms terms = new ProductLines(lines).terms(node, seconds);
    return new Policy(
        order.scoring(policy.scoring()),
        policy.hosts(),
        policy.round(),
        policy.capacity(),
        (int) base.number("open", policy.mostOpenJobs()),
        new Drains(List.copyOf(plans.values()), budgets),
        order == QueueOrder.PLANNED ? terms : withoutDawns(terms));
  }

  private static ProductTerms withoutDawns(ProductTerms terms) {
    return terms.headrooms().isEmpty() && terms.exchanges().isEmpty()
        ? ProductTerms.NONE
        : new ProductTerms(terms.version(), List.of(), terms.headrooms(), terms.exchanges());
  }

  /** All dawns that some node's file declares at some time; of one name, the last. */
  List<DawnTerms> dawns() {
    return new ProductLines(lines).dawns();
  }

  /** By how much the time of day is ahead of the model's own. */
  double clock() {
    return base.number("clock", 0);
  }

  /** All exchanges that any file declares. */
  List<ExchangeTerms> exchanges() {
    return new ProductLines(lines).exchanges();
  }

  /** Whether any file declares a plan to empty machines. */
  boolean drains() {
    return lines.stream().anyMatch(line -> line.word(0).equals("drain"));
  }

  /** Whether room may be kept free for some jobs by what any file declares. */
  boolean promisesRoom() {
    return lines.stream()
        .map(line -> line.word(0))
        .anyMatch(word -> word.equals("headroom") || word.equals("exchange"));
  }

  /** Whether a plan may be about a machine that was rented then: it takes none that come later. */
  boolean empties(double rentedSeconds) {
    return lines.stream()
        .filter(line -> line.word(0).equals("drain"))
        .anyMatch(line -> rentedSeconds <= line.number("from", 0) + PLAN_SEEN_SECONDS);
  }

  List<Budget> budgets() {
    return budgets;
  }

  private static Budget budget(ScenarioLine line) {
    int stops = (int) line.number("stops", -1);
    return new Budget(
        line.word(1),
        Optional.ofNullable(line.text("class", null)),
        line.number("down", 1),
        stops < 0 ? Optional.empty() : Optional.of(stops));
  }

  private static DrainPlan plan(ScenarioLine line) {
    String kind = line.text("kind", "");
    return new DrainPlan(
        line.word(1),
        (long) line.number("version", 1),
        DrainPlan.Status.valueOf(line.text("state", "running").toUpperCase(Locale.ROOT)),
        texts(line, "zones"),
        texts(line, "types"),
        kind.isEmpty() ? Optional.empty() : Optional.of(kind.equals("spot")),
        texts(line, "machines"),
        DrainPlan.Then.valueOf(line.text("then", "replace").toUpperCase(Locale.ROOT)),
        line.number("step", 1),
        (int) line.number("surge", line.number("step", 1)),
        Span.seconds(line.number("pause", 0)),
        Span.seconds(line.number("patience", 30)),
        Span.seconds(line.number("replicawaits", 5)),
        Span.seconds(line.number("workwaits", 15)));
  }

  private static Set<String> texts(ScenarioLine line, String name) {
    String text = line.text(name, "");
    return text.isEmpty() ? Set.of() : Set.of(text.split(","));
  }
}
