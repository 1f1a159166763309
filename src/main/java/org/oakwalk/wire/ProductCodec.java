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

/** Encodes and decodes the stored terms of deadlines ("dawns"), headroom and exchanges. */
public final class ProductCodec {
  /** Records of other format versions are rejected, since their meaning is unknown. */
  private static final int FORMAT_VERSION = 1;

  private ProductCodec() {}

  /** Returns the size of these terms as a stored record, as the state service measures values. */
  public static int storedBytes(ProductTerms terms) {
    return StateServiceCodec.value(new StoredValue.ProductRecord(terms)).toString().length();
  }

  static void encode(ProductTerms terms, ObjectNode map) {
    map.put("form", FORMAT_VERSION);
    map.put("version", terms.version());
    ArrayNode deadlines = map.putArray("dawns");
    terms.batchDeadlines().forEach(deadline -> encode(deadline, deadlines.addObject()));
    ArrayNode headrooms = map.putArray("headrooms");
    terms.headrooms().forEach(headroom -> encode(headroom, headrooms.addObject()));
    ArrayNode exchanges = map.putArray("exchanges");
    terms.exchanges().forEach(exchange -> encode(exchange, exchanges.addObject()));
  }

  private static void encode(BatchDeadlineTerms deadline, ObjectNode map) {
    map.put("name", deadline.name());
    deadline
        .daily()
        .ifPresent(
            daily -> {
              map.put("by", daily.dueAt().toString());
              map.put("opens", daily.opensAt().toString());
              map.put("tz", daily.zone().getId());
            });
    deadline.interval().ifPresent(every -> map.put("every_s", every.asSeconds()));
    map.put("lasts_s", deadline.windowLength().asSeconds());
    texts(map, "classes", deadline.classes());
    texts(map, "teams", deadline.teams());
    map.put("margin_s", deadline.safetyMargin().asSeconds());
    map.put("quantile", deadline.runTimeQuantile());
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

  static ProductTerms decode(FieldReader map) throws MalformedMessageException {
    SharedRecordCodec.checkFormat(map, FORMAT_VERSION);
    List<BatchDeadlineTerms> deadlines = new ArrayList<>();
    for (JsonNode item : map.list("dawns")) {
      deadlines.add(batchDeadline(FieldReader.ofMap(item)));
    }
    List<HeadroomTerms> headrooms = new ArrayList<>();
    for (JsonNode item : map.list("headrooms")) {
      headrooms.add(headroom(FieldReader.ofMap(item)));
    }
    List<ExchangeTerms> exchanges = new ArrayList<>();
    for (JsonNode item : map.list("exchanges")) {
      exchanges.add(exchange(FieldReader.ofMap(item)));
    }
    return new ProductTerms(
        map.count("version", 1, Long.MAX_VALUE), deadlines, headrooms, exchanges);
  }

  private static BatchDeadlineTerms batchDeadline(FieldReader map)
      throws MalformedMessageException {
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

  private static BatchDeadlineTerms.DailyDeadline daily(FieldReader map)
      throws MalformedMessageException {
    try {
      return new BatchDeadlineTerms.DailyDeadline(
          LocalTime.parse(map.text("by")),
          LocalTime.parse(map.text("opens")),
          ZoneId.of(map.text("tz")));
    } catch (DateTimeException e) {
      throw new MalformedMessageException("malformed hours or time zone of a dawn");
    }
  }

  private static HeadroomTerms headroom(FieldReader map) throws MalformedMessageException {
    return new HeadroomTerms(
        map.shortText("name"),
        map.optionalText("class"),
        map.optionalText("team"),
        (int) map.count("replicas", 0, Integer.MAX_VALUE),
        map.amount("share"),
        texts(map, "zones"),
        share(map, "warm"));
  }

  private static ExchangeTerms exchange(FieldReader map) throws MalformedMessageException {
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

  private static Set<String> texts(FieldReader map, String name) throws MalformedMessageException {
    return new LinkedHashSet<>(map.textList(name));
  }

  private static double share(FieldReader map, String name) throws MalformedMessageException {
    double share = map.amount(name);
    if (share > 1) {
      throw new MalformedMessageException("field " + name + " is out of range");
    }
    return share;
  }
}
