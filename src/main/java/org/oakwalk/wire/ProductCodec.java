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
import org.oakwalk.core.product.DawnTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.core.store.StoredValue;

/** The stored form of what operators declare of dawns, headroom and exchanges. */
public final class ProductCodec {
  /** Another form is not guessed at: what it means can't be known. */
  private static final int FORMAT_VERSION = 1;

  private ProductCodec() {}

  /** How long the record of these terms is, counted as the state service counts values. */
  public static int storedBytes(ProductTerms terms) {
    return StateServiceCodec.value(new StoredValue.ProductRecord(terms)).toString().length();
  }

  static void encode(ProductTerms terms, ObjectNode map) {
    map.put("form", FORMAT_VERSION);
    map.put("version", terms.version());
    ArrayNode dawns = map.putArray("dawns");
    terms.dawns().forEach(dawn -> encode(dawn, dawns.addObject()));
    ArrayNode headrooms = map.putArray("headrooms");
    terms.headrooms().forEach(headroom -> encode(headroom, headrooms.addObject()));
    ArrayNode exchanges = map.putArray("exchanges");
    terms.exchanges().forEach(exchange -> encode(exchange, exchanges.addObject()));
  }

  private static void encode(DawnTerms dawn, ObjectNode map) {
    map.put("name", dawn.name());
    dawn.daily()
        .ifPresent(
            daily -> {
              map.put("by", daily.by().toString());
              map.put("opens", daily.opens().toString());
              map.put("tz", daily.zone().getId());
            });
    dawn.every().ifPresent(every -> map.put("every_s", every.asSeconds()));
    map.put("lasts_s", dawn.lasts().asSeconds());
    texts(map, "classes", dawn.classes());
    texts(map, "teams", dawn.teams());
    map.put("margin_s", dawn.margin().asSeconds());
    map.put("quantile", dawn.quantile());
  }

  private static void encode(HeadroomTerms headroom, ObjectNode map) {
    map.put("name", headroom.name());
    headroom.jobClass().ifPresent(jobClass -> map.put("class", jobClass));
    headroom.team().ifPresent(team -> map.put("team", team));
    map.put("replicas", headroom.replicas());
    map.put("share", headroom.share());
    texts(map, "zones", headroom.zones());
    map.put("warm", headroom.warm());
  }

  private static void encode(ExchangeTerms exchange, ObjectNode map) {
    map.put("name", exchange.name());
    texts(map, "takers", exchange.takers());
    texts(map, "givers", exchange.givers());
    texts(map, "teams", exchange.teams());
    map.put("most", exchange.most());
    map.put("margin", exchange.margin());
    map.put("dwell_s", exchange.dwell().asSeconds());
    map.put("patience_s", exchange.patience().asSeconds());
  }

  private static void texts(ObjectNode map, String name, Set<String> texts) {
    ArrayNode list = map.putArray(name);
    texts.forEach(list::add);
  }

  static ProductTerms decode(FieldReader map) throws MalformedMessageException {
    SharedRecordCodec.checkFormat(map, FORMAT_VERSION);
    List<DawnTerms> dawns = new ArrayList<>();
    for (JsonNode item : map.list("dawns")) {
      dawns.add(dawn(FieldReader.of(item)));
    }
    List<HeadroomTerms> headrooms = new ArrayList<>();
    for (JsonNode item : map.list("headrooms")) {
      headrooms.add(headroom(FieldReader.of(item)));
    }
    List<ExchangeTerms> exchanges = new ArrayList<>();
    for (JsonNode item : map.list("exchanges")) {
      exchanges.add(exchange(FieldReader.of(item)));
    }
    return new ProductTerms(map.count("version", 1, Long.MAX_VALUE), dawns, headrooms, exchanges);
  }

  private static DawnTerms dawn(FieldReader map) throws MalformedMessageException {
    return new DawnTerms(
        map.shortText("name"),
        map.has("by") ? Optional.of(daily(map)) : Optional.empty(),
        map.optionalSeconds("every_s"),
        map.seconds("lasts_s"),
        texts(map, "classes"),
        texts(map, "teams"),
        map.seconds("margin_s"),
        share(map, "quantile"));
  }

  private static DawnTerms.Daily daily(FieldReader map) throws MalformedMessageException {
    try {
      return new DawnTerms.Daily(
          LocalTime.parse(map.text("by")),
          LocalTime.parse(map.text("opens")),
          ZoneId.of(map.text("tz")));
    } catch (DateTimeException e) {
      throw new MalformedMessageException("a dawn's hours or time zone can't be read");
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
