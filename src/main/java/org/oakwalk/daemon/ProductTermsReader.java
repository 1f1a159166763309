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
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.wire.ProductCodec;

/**
 * Reads and validates the {@code product}, {@code dawn}, {@code headroom} and {@code exchange}
 * blocks of the policy file.
 */
final class ProductTermsReader {
  static final Set<String> BLOCK_KINDS = Set.of("product", "dawn", "headroom", "exchange");

  /** Used in place of a team's name: the terms apply to each team separately. */
  private static final String EVERY_TEAM = "*";

  private static final int MAX_BLOCKS_PER_KIND = 8;
  private static final double MAX_DURATION_S = 7 * 86_400.0;
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

  private ProductTermsReader(Path file, Map<String, Object> root) {
    this.file = file;
    this.root = root;
  }

  /** Reads the blocks from the parsed file; returns {@code NONE} if it contains none of them. */
  static ProductTerms read(Path file, Map<String, Object> root) throws InvalidSettingsException {
    if (BLOCK_KINDS.stream().noneMatch(root::containsKey)) {
      return ProductTerms.NONE;
    }
    ProductTermsReader reader = new ProductTermsReader(file, root);
    List<BatchDeadlineTerms> batchDeadlines = new ArrayList<>();
    for (HclBlock block : reader.blocks("dawn", DAWN_FIELDS)) {
      batchDeadlines.add(parseBatchDeadline(block));
    }
    List<HeadroomTerms> headrooms = new ArrayList<>();
    for (HclBlock block : reader.blocks("headroom", HEADROOM_FIELDS)) {
      headrooms.add(parseHeadroom(block));
    }
    List<ExchangeTerms> exchanges = new ArrayList<>();
    for (HclBlock block : reader.blocks("exchange", EXCHANGE_FIELDS)) {
      exchanges.add(parseExchange(block));
    }
    return new ProductTerms(reader.parseVersion(), batchDeadlines, headrooms, exchanges);
  }

  private long parseVersion() throws InvalidSettingsException {
    Object found = root.get("product");
    if (found == null) {
      return 1;
    }
    if (!(found instanceof Map<?, ?> fields)) {
      throw new InvalidSettingsException(file + ": product must be a single block without a name");
    }
    return new HclBlock(file, "product", fields, PRODUCT_FIELDS)
        .integer("version", 1, 1_000_000_000_000_000L, 1);
  }

  private List<HclBlock> blocks(String kind, Set<String> fields) throws InvalidSettingsException {
    List<HclBlock> blocks = new ArrayList<>();
    for (Map.Entry<String, Object> entry : HclBlock.blocksOfKind(file, root, kind, Set.of())) {
      String name = kind + " \"" + entry.getKey() + "\"";
      if (entry.getValue() instanceof List) {
        throw new InvalidSettingsException(file + ": " + name + " is defined twice");
      }
      blocks.add(new HclBlock(file, name, (Map<?, ?>) entry.getValue(), fields));
    }
    if (blocks.size() > MAX_BLOCKS_PER_KIND) {
      throw new InvalidSettingsException(
          file + ": more than " + MAX_BLOCKS_PER_KIND + " " + kind + " blocks");
    }
    return blocks;
  }

  /** Returns the name of the block without its kind and quotes. */
  private static String unquotedName(HclBlock block) {
    return block.label().substring(block.label().indexOf('"') + 1, block.label().length() - 1);
  }

  private static BatchDeadlineTerms parseBatchDeadline(HclBlock block)
      throws InvalidSettingsException {
    boolean daily = block.has("by");
    if (daily == block.has("every_s")) {
      throw block.invalid("exactly one of by and every_s is required");
    }
    if (daily && block.has("lasts_s") || !daily && (block.has("opens") || block.has("zone"))) {
      throw block.invalid("opens and zone require by, lasts_s requires every_s");
    }
    Optional<BatchDeadlineTerms.DailyDeadline> dailyDeadline =
        daily ? Optional.of(parseDailyDeadline(block)) : Optional.empty();
    double interval = block.number("every_s", 1, MAX_DURATION_S, 0);
    TimeSpan windowLength =
        dailyDeadline
            .map(ProductTermsReader::windowLength)
            .orElse(
                TimeSpan.seconds(daily ? 0 : block.number("lasts_s", 1, MAX_DURATION_S, interval)));
    TimeSpan safetyMargin = TimeSpan.seconds(block.number("margin_s", 0, MAX_DURATION_S, 0));
    if (!daily && windowLength.compareTo(TimeSpan.seconds(interval)) > 0) {
      throw block.invalid("lasts_s must not exceed every_s");
    }
    if (safetyMargin.compareTo(windowLength) >= 0) {
      throw block.invalid("margin_s must be shorter than the window");
    }
    return new BatchDeadlineTerms(
        unquotedName(block),
        dailyDeadline,
        daily ? Optional.empty() : Optional.of(TimeSpan.seconds(interval)),
        windowLength,
        block.textSet("classes"),
        block.textSet("teams"),
        safetyMargin,
        block.number("quantile", 0.5, 0.999, 0.9));
  }

  private static BatchDeadlineTerms.DailyDeadline parseDailyDeadline(HclBlock block)
      throws InvalidSettingsException {
    BatchDeadlineTerms.DailyDeadline deadline =
        new BatchDeadlineTerms.DailyDeadline(
            parseTimeOfDay(block, "by", null),
            parseTimeOfDay(block, "opens", "20:00"),
            parseTimeZone(block));
    if (deadline.dueAt().equals(deadline.opensAt())) {
      throw block.invalid("opens must differ from by");
    }
    return deadline;
  }

  /** Returns the time from opening to deadline on a day without a daylight-saving change. */
  private static TimeSpan windowLength(BatchDeadlineTerms.DailyDeadline deadline) {
    Duration length = Duration.between(deadline.opensAt(), deadline.dueAt());
    return TimeSpan.millis((length.isNegative() ? length.plusDays(1) : length).toMillis());
  }

  private static LocalTime parseTimeOfDay(HclBlock block, String field, String defaultValue)
      throws InvalidSettingsException {
    String text = block.has(field) ? block.text(field) : defaultValue;
    try {
      return LocalTime.parse(text);
    } catch (DateTimeException e) {
      throw block.invalid(field + " is not a time of day such as 06:00");
    }
  }

  private static ZoneId parseTimeZone(HclBlock block) throws InvalidSettingsException {
    String text = block.has("zone") ? block.text("zone") : "UTC";
    try {
      return ZoneId.of(text);
    } catch (DateTimeException e) {
      throw block.invalid("unknown time zone " + text);
    }
  }

  private static HeadroomTerms parseHeadroom(HclBlock block) throws InvalidSettingsException {
    if (!block.has("class") && !block.has("team")) {
      throw block.invalid("class or team is required");
    }
    int replicas = (int) block.integer("replicas", 0, 100_000, 0);
    double share = block.number("share", 0, 10, 0);
    if (replicas == 0 && share == 0) {
      throw block.invalid("replicas or share must be greater than 0");
    }
    return new HeadroomTerms(
        unquotedName(block),
        Optional.ofNullable(block.text("class")),
        Optional.ofNullable(block.text("team")).filter(team -> !team.equals(EVERY_TEAM)),
        replicas,
        share,
        block.textSet("zones"),
        block.number("warm", 0, 1, 0));
  }

  private static ExchangeTerms parseExchange(HclBlock block) throws InvalidSettingsException {
    Set<String> takers = block.textSet("takers");
    Set<String> givers = block.textSet("givers");
    for (String taker : takers) {
      if (givers.contains(taker)) {
        throw block.invalid("class " + taker + " is both a taker and a giver");
      }
    }
    return new ExchangeTerms(
        unquotedName(block),
        takers,
        givers,
        block.textSet("teams"),
        (int) block.integer("most", 1, 100_000, 64),
        block.number("margin", 0, 0.9, 0.1),
        TimeSpan.seconds(block.number("dwell_s", 0, 86_400, 10)),
        TimeSpan.seconds(block.number("patience_s", 1, 86_400, 60)));
  }

  /** Checks that the terms match the deployment and fit into one stored value. */
  static void validate(Path file, ProductTerms terms, Settings settings)
      throws InvalidSettingsException {
    for (BatchDeadlineTerms deadline : terms.batchDeadlines()) {
      validateTeams(file, "dawn \"" + deadline.name() + "\"", deadline.teams(), settings);
    }
    for (HeadroomTerms headroom : terms.headrooms()) {
      validate(file, headroom, settings);
    }
    for (ExchangeTerms exchange : terms.exchanges()) {
      validateTeams(file, "exchange \"" + exchange.name() + "\"", exchange.giverTeams(), settings);
    }
    int maxBytes = (int) (settings.state().valueKb() * 1024);
    if (!terms.isUndeclared() && ProductCodec.storedBytes(terms) > maxBytes) {
      throw new InvalidSettingsException(
          file
              + ": dawn, headroom and exchange blocks take more than the "
              + maxBytes
              + " bytes of a stored value");
    }
  }

  private static void validate(Path file, HeadroomTerms headroom, Settings settings)
      throws InvalidSettingsException {
    String name = "headroom \"" + headroom.name() + "\"";
    validateTeams(file, name, headroom.team().map(Set::of).orElse(Set.of()), settings);
    for (String zone : headroom.zones()) {
      if (!settings.zones().contains(zone)) {
        throw new InvalidSettingsException(file + ": " + name + ": unknown zone " + zone);
      }
    }
    double cpuLimit = headroom.team().map(team -> settings.teams().get(team).cpusMax()).orElse(0.0);
    // The size of a replica is unknown until one exists; few replicas use less than one CPU.
    if (cpuLimit > 0 && headroom.minReplicas() > cpuLimit) {
      throw new InvalidSettingsException(
          file + ": " + name + ": more replicas than the team's CPU limit of " + cpuLimit);
    }
  }

  private static void validateTeams(Path file, String name, Set<String> teams, Settings settings)
      throws InvalidSettingsException {
    for (String team : teams) {
      if (!settings.teams().containsKey(team)) {
        throw new InvalidSettingsException(file + ": " + name + ": unknown team " + team);
      }
    }
  }
}
