package org.oakwalk.model;

import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.product.ProductTerms;

/**
 * Parses the batch deadlines, headroom and exchanges that a scenario declares in the operators'
 * files.
 */
final class ProductTermsParser {
  private final List<ScenarioLine> lines;

  ProductTermsParser(List<ScenarioLine> lines) {
    this.lines = lines;
  }

  /** Returns the terms in the file of a node at this time. */
  ProductTerms termsFor(NodeId node, double seconds) {
    boolean declared = false;
    long version = 1;
    List<BatchDeadlineTerms> deadlines = new ArrayList<>();
    List<HeadroomTerms> headrooms = new ArrayList<>();
    List<ExchangeTerms> exchanges = new ArrayList<>();
    for (ScenarioLine line : lines) {
      if (!line.text("on", node.value()).equals(node.value())
          || line.number("from", 0) > seconds
          || line.number("until", Double.MAX_VALUE) <= seconds) {
        continue;
      }
      switch (line.word(0)) {
        case "product" -> {
          declared = true;
          version = (long) line.number("version", 1);
        }
        case "dawn" -> deadlines.add(parseDeadline(line));
        case "headroom" -> headrooms.add(parseHeadroom(line));
        case "exchange" -> exchanges.add(parseExchange(line));
        default -> {}
      }
    }
    return !declared && deadlines.isEmpty() && headrooms.isEmpty() && exchanges.isEmpty()
        ? ProductTerms.NONE
        : new ProductTerms(version, deadlines, headrooms, exchanges);
  }

  /** Returns the exchanges of all lines, of any node and time. */
  List<ExchangeTerms> exchanges() {
    return lines.stream()
        .filter(line -> line.word(0).equals("exchange"))
        .map(ProductTermsParser::parseExchange)
        .toList();
  }

  /**
   * Returns the batch deadlines of all lines, of any node and time; of several with one name, the
   * last.
   */
  List<BatchDeadlineTerms> batchDeadlines() {
    Map<String, BatchDeadlineTerms> deadlines = new LinkedHashMap<>();
    for (ScenarioLine line : lines) {
      if (line.word(0).equals("dawn")) {
        deadlines.put(line.word(1), parseDeadline(line));
      }
    }
    return List.copyOf(deadlines.values());
  }

  private static BatchDeadlineTerms parseDeadline(ScenarioLine line) {
    String by = line.text("by", "");
    double every = line.number("every", 0);
    return new BatchDeadlineTerms(
        line.word(1),
        by.isEmpty()
            ? Optional.empty()
            : Optional.of(
                new BatchDeadlineTerms.DailyDeadline(
                    LocalTime.parse(by),
                    LocalTime.parse(line.text("opens", "20:00")),
                    ZoneId.of(line.text("tz", "UTC")))),
        every > 0 ? Optional.of(TimeSpan.seconds(every)) : Optional.empty(),
        TimeSpan.seconds(line.number("lasts", every)),
        parseSet(line, "classes"),
        parseSet(line, "teams"),
        TimeSpan.seconds(line.number("margin", 0)),
        line.number("quantile", 0.9));
  }

  private static HeadroomTerms parseHeadroom(ScenarioLine line) {
    return new HeadroomTerms(
        line.word(1),
        Optional.ofNullable(line.text("class", null)),
        Optional.ofNullable(line.text("team", null)),
        (int) line.number("replicas", 0),
        line.number("share", 0),
        parseSet(line, "zones"),
        line.number("warm", 0));
  }

  private static ExchangeTerms parseExchange(ScenarioLine line) {
    return new ExchangeTerms(
        line.word(1),
        parseSet(line, "takers"),
        parseSet(line, "givers"),
        parseSet(line, "teams"),
        (int) line.number("most", 64),
        line.number("margin", 0.1),
        TimeSpan.seconds(line.number("dwell", 10)),
        TimeSpan.seconds(line.number("patience", 60)));
  }

  /** Returns the comma-separated values of an option, or none if it is absent. */
  private static Set<String> parseSet(ScenarioLine line, String name) {
    String text = line.text(name, "");
    return text.isEmpty() ? Set.of() : Set.of(text.split(","));
  }
}
