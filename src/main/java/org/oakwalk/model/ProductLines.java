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
import org.oakwalk.core.Span;
import org.oakwalk.core.product.DawnTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.product.ProductTerms;

/** Dawns, headroom and exchanges as a scenario declares them in the operators' files. */
final class ProductLines {
  private final List<ScenarioLine> lines;

  ProductLines(List<ScenarioLine> lines) {
    this.lines = lines;
  }

  /** The file's terms as a node finds them at this time. */
  ProductTerms terms(NodeId node, double seconds) {
    boolean declared = false;
    long version = 1;
    List<DawnTerms> dawns = new ArrayList<>();
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
        case "dawn" -> dawns.add(dawn(line));
        case "headroom" -> headrooms.add(headroom(line));
        case "exchange" -> exchanges.add(exchange(line));
        default -> {}
      }
    }
    return !declared && dawns.isEmpty() && headrooms.isEmpty() && exchanges.isEmpty()
        ? ProductTerms.NONE
        : new ProductTerms(version, dawns, headrooms, exchanges);
  }

  /** All exchanges that are declared anywhere. */
  List<ExchangeTerms> exchanges() {
    return lines.stream()
        .filter(line -> line.word(0).equals("exchange"))
        .map(ProductLines::exchange)
        .toList();
  }

  /** All dawns that are declared anywhere; of one name, the last. */
  List<DawnTerms> dawns() {
    Map<String, DawnTerms> dawns = new LinkedHashMap<>();
    for (ScenarioLine line : lines) {
      if (line.word(0).equals("dawn")) {
        dawns.put(line.word(1), dawn(line));
      }
    }
    return List.copyOf(dawns.values());
  }

  private static DawnTerms dawn(ScenarioLine line) {
    String by = line.text("by", "");
    double every = line.number("every", 0);
    return new DawnTerms(
        line.word(1),
        by.isEmpty()
            ? Optional.empty()
            : Optional.of(
                new DawnTerms.Daily(
                    LocalTime.parse(by),
                    LocalTime.parse(line.text("opens", "20:00")),
                    ZoneId.of(line.text("tz", "UTC")))),
        every > 0 ? Optional.of(Span.seconds(every)) : Optional.empty(),
        Span.seconds(line.number("lasts", every)),
        texts(line, "classes"),
        texts(line, "teams"),
        Span.seconds(line.number("margin", 0)),
        line.number("quantile", 0.9));
  }

  private static HeadroomTerms headroom(ScenarioLine line) {
    return new HeadroomTerms(
        line.word(1),
        Optional.ofNullable(line.text("class", null)),
        Optional.ofNullable(line.text("team", null)),
        (int) line.number("replicas", 0),
        line.number("share", 0),
        texts(line, "zones"),
        line.number("warm", 0));
  }

  private static ExchangeTerms exchange(ScenarioLine line) {
    return new ExchangeTerms(
        line.word(1),
        texts(line, "takers"),
        texts(line, "givers"),
        texts(line, "teams"),
        (int) line.number("most", 64),
        line.number("margin", 0.1),
        Span.seconds(line.number("dwell", 10)),
        Span.seconds(line.number("patience", 60)));
  }

  private static Set<String> texts(ScenarioLine line, String name) {
    String text = line.text(name, "");
    return text.isEmpty() ? Set.of() : Set.of(text.split(","));
  }
}
