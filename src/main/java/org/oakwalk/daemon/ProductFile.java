package org.oakwalk.daemon;

import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.wire.ProductCodec;

/** The blocks {@code product}, {@code dawn}, {@code headroom}, {@code exchange}. */
final class ProductFile {
  static final Set<String> BLOCKS = Set.of("product", "dawn", "headroom", "exchange");

  /** In place of a team's name: all teams, each by itself. */
  private static final String EVERY_TEAM = "*";

  private static final int MOST_BLOCKS = 8;
  private static final double LONGEST_S = 7 * 86_400.0;
  private static final Set<String> PRODUCT_FIELDS = Set.of("version");
  private static final Set<String> DAWN_FIELDS =
      Set.of(
          "by", "zone", "opens", "every_s", "lasts_s", "classes", "teams", "margin_s", "quantile");
  private static final Set<String> HEADROOM_FIELDS =
      Set.of("class", "team", "replicas", "share", "zones", "warm");
  private static final Set<String> EXCHANGE_FIELDS =
      Set.of("takers", "givers", "teams", "most", "margin", "dwell_s", "patience_s");

  private final Path file;
  private final Map<String, Object> root;

  private ProductFile(Path file, Map<String, Object> root) {
    this.file = file;
    this.root = root;
  }

  /** Reads these blocks out of a file's contents; without any of them nothing is declared. */
  static ProductTerms read(Path file, Map<String, Object> root) throws BadSettings {
    if (BLOCKS.stream().noneMatch(root::containsKey)) {
      return ProductTerms.NONE;
    }
    ProductFile reader = new ProductFile(file, root);
    List<BatchDeadlineTerms> dawns = new ArrayList<>();
    for (Block block : reader.blocks("dawn", DAWN_FIELDS)) {
      dawns.add(dawn(block));
    }
    List<HeadroomTerms> headrooms = new ArrayList<>();
    for (Block block : reader.blocks("headroom", HEADROOM_FIELDS)) {
      headrooms.add(headroom(block));
    }
    List<ExchangeTerms> exchanges = new ArrayList<>();
    for (Block block : reader.blocks("exchange", EXCHANGE_FIELDS)) {
      exchanges.add(exchange(block));
    }
    return new ProductTerms(reader.version(), dawns, headrooms, exchanges);
  }

  private long version() throws BadSettings {
    Object found = root.get("product");
    if (found == null) {
      return 1;
    }
    if (!(found instanceof Map<?, ?> fields)) {
      throw new BadSettings(file + ": product is not one block");
    }
    return new Block(file, "product", fields, PRODUCT_FIELDS)
        .count("version", 1, 1_000_000_000_000_000L, 1);
  }

  private List<Block> blocks(String kind, Set<String> fields) throws BadSettings {
    List<Block> blocks = new ArrayList<>();
    for (Map.Entry<String, Object> entry : Block.named(file, root, kind, Set.of())) {
      String name = kind + " \"" + entry.getKey() + "\"";
      if (entry.getValue() instanceof List) {
        throw new BadSettings(file + ": " + name + " stands there twice");
      }
      blocks.add(new Block(file, name, (Map<?, ?>) entry.getValue(), fields));
    }
    if (blocks.size() > MOST_BLOCKS) {
      throw new BadSettings(file + ": more than " + MOST_BLOCKS + " blocks " + kind);
    }
    return blocks;
  }

  /** The name after the kind, without its quotes. */
  private static String plain(Block block) {
    return block.name().substring(block.name().indexOf('"') + 1, block.name().length() - 1);
  }

  private static BatchDeadlineTerms dawn(Block block) throws BadSettings {
    boolean daily = block.has("by");
    if (daily == block.has("every_s")) {
      throw block.bad("either by or every_s says when it comes");
    }
    if (daily && block.has("lasts_s") || !daily && (block.has("opens") || block.has("zone"))) {
      throw block.bad("by goes with opens and zone, every_s with lasts_s");
    }
    Optional<BatchDeadlineTerms.DailyDeadline> hours =
        daily ? Optional.of(hours(block)) : Optional.empty();
    double every = block.number("every_s", 1, LONGEST_S, 0);
    Span lasts =
        hours
            .map(ProductFile::window)
            .orElse(Span.seconds(daily ? 0 : block.number("lasts_s", 1, LONGEST_S, every)));
    Span margin = Span.seconds(block.number("margin_s", 0, LONGEST_S, 0));
    if (!daily && lasts.compareTo(Span.seconds(every)) > 0) {
      throw block.bad("its window lasts longer than from one to the next");
    }
    if (margin.compareTo(lasts) >= 0) {
      throw block.bad("its margin leaves nothing of its window");
    }
    return new BatchDeadlineTerms(
        plain(block),
        hours,
        daily ? Optional.empty() : Optional.of(Span.seconds(every)),
        lasts,
        block.texts("classes"),
        block.texts("teams"),
        margin,
        block.number("quantile", 0.5, 0.999, 0.9));
  }

  private static BatchDeadlineTerms.DailyDeadline hours(Block block) throws BadSettings {
    BatchDeadlineTerms.DailyDeadline hours =
        new BatchDeadlineTerms.DailyDeadline(
            time(block, "by", null), time(block, "opens", "20:00"), timeZone(block));
    if (hours.dueAt().equals(hours.opensAt())) {
      throw block.bad("it opens when it ends");
    }
    return hours;
  }

  /** From when it opens until it ends on a day that has neither an hour more nor one less. */
  private static Span window(BatchDeadlineTerms.DailyDeadline hours) {
    Duration length = Duration.between(hours.opensAt(), hours.dueAt());
    return Span.millis((length.isNegative() ? length.plusDays(1) : length).toMillis());
  }

  private static LocalTime time(Block block, String field, String otherwise) throws BadSettings {
    String text = block.has(field) ? block.text(field) : otherwise;
    try {
      return LocalTime.parse(text);
    } catch (DateTimeException e) {
      throw block.bad(field + " is not a time of the day such as 06:00");
    }
  }

  private static ZoneId timeZone(Block block) throws BadSettings {
    String text = block.has("zone") ? block.text("zone") : "UTC";
    try {
      return ZoneId.of(text);
    } catch (DateTimeException e) {
      throw block.bad("unknown time zone " + text);
    }
  }

  private static HeadroomTerms headroom(Block block) throws BadSettings {
    if (!block.has("class") && !block.has("team")) {
      throw block.bad("neither class nor team says whom it is for");
    }
    int replicas = (int) block.count("replicas", 0, 100_000, 0);
    double share = block.number("share", 0, 10, 0);
    if (replicas == 0 && share == 0) {
      throw block.bad("neither replicas nor share says how much it is");
    }
    return new HeadroomTerms(
        plain(block),
        Optional.ofNullable(block.text("class")),
        Optional.ofNullable(block.text("team")).filter(team -> !team.equals(EVERY_TEAM)),
        replicas,
        share,
        block.texts("zones"),
        block.number("warm", 0, 1, 0));
  }

  private static ExchangeTerms exchange(Block block) throws BadSettings {
    Set<String> takers = block.texts("takers");
    Set<String> givers = block.texts("givers");
    for (String taker : takers) {
      if (givers.contains(taker)) {
        throw block.bad("class " + taker + " gives to itself");
      }
    }
    return new ExchangeTerms(
        plain(block),
        takers,
        givers,
        block.texts("teams"),
        (int) block.count("most", 1, 100_000, 64),
        block.number("margin", 0, 0.9, 0.1),
        Span.seconds(block.number("dwell_s", 0, 86_400, 10)),
        Span.seconds(block.number("patience_s", 1, 86_400, 60)));
  }

  /** Looks whether what is declared fits the deployment. */
  static void check(Path file, ProductTerms terms, Settings settings) throws BadSettings {
    for (BatchDeadlineTerms dawn : terms.batchDeadlines()) {
      teams(file, "dawn \"" + dawn.name() + "\"", dawn.teams(), settings);
    }
    for (HeadroomTerms headroom : terms.headrooms()) {
      check(file, headroom, settings);
    }
    for (ExchangeTerms exchange : terms.exchanges()) {
      teams(file, "exchange \"" + exchange.name() + "\"", exchange.giverTeams(), settings);
    }
    int most = (int) (settings.state().valueKb() * 1024);
    if (!terms.isUndeclared() && ProductCodec.storedBytes(terms) > most) {
      throw new BadSettings(
          file
              + ": dawns, headroom and exchanges take more than the "
              + most
              + " bytes of a value");
    }
  }

  private static void check(Path file, HeadroomTerms headroom, Settings settings)
      throws BadSettings {
    String name = "headroom \"" + headroom.name() + "\"";
    teams(file, name, headroom.team().map(Set::of).orElse(Set.of()), settings);
    for (String zone : headroom.zones()) {
      if (!settings.zones().contains(zone)) {
        throw new BadSettings(file + ": " + name + ": unknown zone " + zone);
      }
    }
    double limit = headroom.team().map(team -> settings.teams().get(team).cpusMax()).orElse(0.0);
    // What a replica takes is known only once there is one; hardly any takes less than a CPU.
    if (limit > 0 && headroom.minReplicas() > limit) {
      throw new BadSettings(
          file + ": " + name + ": more replicas than the team's limit has CPUs, " + limit);
    }
  }

  private static void teams(Path file, String name, Set<String> teams, Settings settings)
      throws BadSettings {
    for (String team : teams) {
      if (!settings.teams().containsKey(team)) {
        throw new BadSettings(file + ": " + name + ": unknown team " + team);
      }
    }
  }
}
