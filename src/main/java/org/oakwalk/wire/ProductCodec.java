package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.core.store.StoredValue;

/** The stored form of what operators declare of dawns, headroom and exchanges. */
public final class ProductCodec {
  /** Another form is not guessed at: what it means can't be known. */
  private static final int FORM = 1;

  private ProductCodec() {}

  /** How long the record of these terms is, counted as the state service counts values. */
  public static int bytes(ProductTerms terms) {
    return StateCodec.value(new StoredValue.ProductRecord(terms)).toString().length();
  }

  static void encode(ProductTerms terms, ObjectNode map) {
    map.put("form", FORM);
    map.put("version", terms.version());
    ArrayNode dawns = map.putArray("dawns");
    terms.batchDeadlines().forEach(dawn -> encode(dawn, dawns.addObject()));
    ArrayNode headrooms = map.putArray("headrooms");
    terms.headrooms().forEach(headroom -> encode(headroom, headrooms.addObject()));
    ArrayNode exchanges = map.putArray("exchanges");
    terms.exchanges().forEach(exchange -> encode(exchange, exchanges.addObject()));
  }

  private static void encode(BatchDeadlineTerms dawn, ObjectNode map) {
    map.put("name", dawn.name());
    dawn.daily()
        .ifPresent(
            daily -> {
              map.put("by", daily.dueAt().toString());
              map.put("opens", daily.opensAt().toString());
              map.put("tz", daily.zone().getId());
            });
    dawn.interval().ifPresent(every -> map.put("every_s", every.asSeconds()));
    map.put("lasts_s", dawn.windowLength().asSeconds());
    texts(map, "classes", dawn.classes());
    texts(map, "teams", dawn.teams());
    map.put("margin_s", dawn.safetyMargin().asSeconds());
    map.put("quantile", dawn.runTimeQuantile());
  }

  private static void encode(HeadroomTerms headroom, ObjectNode map) {
    map.put("name", headroom.name());
    headroom.jobClass().ifPresent(jobClass -> map.put("class", jobClass));
    headroom.team().ifPresent(team -> map.put("team", team));
    map.put("replicas", headroom.minReplicas());
    map.put("share", headroom.peakShare());
    texts(map, "zones", headroom.zones());
    map.put("warm", headroom.warmShare());
  }

  private static void encode(ExchangeTerms exchange, ObjectNode map) {
    map.put("name", exchange.name());
    texts(map, "takers", exchange.takerClasses());
    texts(map, "givers", exchange.giverClasses());
    texts(map, "teams", exchange.giverTeams());
    map.put("most", exchange.maxOpenTransfers());
    map.put("margin", exchange.returnMargin());
    map.put("dwell_s", exchange.returnDelay().asSeconds());
    map.put("patience_s", exchange.holdTimeout().asSeconds());
  }

  private static void texts(ObjectNode map, String name, Set<String> texts) {
    ArrayNode list = map.putArray(name);
    texts.forEach(list::add);
  }

  static ProductTerms decode(Fields map) throws BadMessage {
    SharedCodec.checkForm(map, FORM);
    List<BatchDeadlineTerms> dawns = new ArrayList<>();
    for (JsonNode item : map.list("dawns")) {
      dawns.add(dawn(Fields.of(item)));
    }
    List<HeadroomTerms> headrooms = new ArrayList<>();
    for (JsonNode item : map.list("headrooms")) {
      headrooms.add(headroom(Fields.of(item)));
    }
    List<ExchangeTerms> exchanges = new ArrayList<>();
    for (JsonNode item : map.list("exchanges")) {
      exchanges.add(exchange(Fields.of(item)));
    }
    return new ProductTerms(map.count("version", 1, Long.MAX_VALUE), dawns, headrooms, exchanges);
  }

  private static BatchDeadlineTerms dawn(Fields map) throws BadMessage {
    return new BatchDeadlineTerms(
        map.shortText("name"),
        map.has("by") ? Optional.of(daily(map)) : Optional.empty(),
        map.optionalSeconds("every_s"),
        map.seconds("lasts_s"),
        texts(map, "classes"),
        texts(map, "teams"),
        map.seconds("margin_s"),
        share(map, "quantile"));
  }

  private static BatchDeadlineTerms.DailyDeadline daily(Fields map) throws BadMessage {
    try {
      return new BatchDeadlineTerms.DailyDeadline(
          LocalTime.parse(map.text("by")),
          LocalTime.parse(map.text("opens")),
          ZoneId.of(map.text("tz")));
    } catch (DateTimeException e) {
      throw new BadMessage("a dawn's hours or time zone can't be read");
    }
  }

  private static HeadroomTerms headroom(Fields map) throws BadMessage {
    return new HeadroomTerms(
        map.shortText("name"),
        map.optionalText("class"),
        map.optionalText("team"),
        (int) map.count("replicas", 0, Integer.MAX_VALUE),
        map.amount("share"),
        texts(map, "zones"),
        share(map, "warm"));
  }

  private static ExchangeTerms exchange(Fields map) throws BadMessage {
    return new ExchangeTerms(
        map.shortText("name"),
        texts(map, "takers"),
        texts(map, "givers"),
        texts(map, "teams"),
        (int) map.count("most", 0, Integer.MAX_VALUE),
        map.amount("margin"),
        map.seconds("dwell_s"),
        map.seconds("patience_s"));
  }

  private static Set<String> texts(Fields map, String name) throws BadMessage {
    return new LinkedHashSet<>(map.texts(name));
  }

  private static double share(Fields map, String name) throws BadMessage {
    double share = map.amount(name);
    if (share > 1) {
      throw new BadMessage("field " + name + " is out of range");
    }
    return share;
  }
}
