package org.oakwalk.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.product.BatchDeadlineTerms;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.product.ProductTerms;

/** Reading and validation of {@code product}, {@code dawn}, {@code headroom}, {@code exchange}. */
class ProductTermsReaderTest {
  @TempDir private Path folder;

  private Settings platformSettings() throws Exception {
    return PlatformSettings.read(
            Files.writeString(folder.resolve("platform"), SettingsTest.PLATFORM_TOML))
        .core();
  }

  private Path policyFile(String text) throws Exception {
    return Files.writeString(folder.resolve("policy"), text.replace(';', '\n'));
  }

  @Test
  void exampleFileSetsEveryField() throws Exception {
    ProductTerms terms = PolicyFile.read(Path.of("deploy/product.example.hcl")).product();
    assertThat(terms)
        .isEqualTo(
            new ProductTerms(
                1,
                List.of(
                    new BatchDeadlineTerms(
                        "morning",
                        Optional.of(
                            new BatchDeadlineTerms.DailyDeadline(
                                LocalTime.of(6, 0),
                                LocalTime.of(20, 0),
                                ZoneId.of("Europe/Ljubljana"))),
                        Optional.empty(),
                        TimeSpan.seconds(36_000),
                        Set.of("resize"),
                        Set.of("vision"),
                        TimeSpan.seconds(900),
                        0.9),
                    new BatchDeadlineTerms(
                        "tide",
                        Optional.empty(),
                        Optional.of(TimeSpan.seconds(21_600)),
                        TimeSpan.seconds(7200),
                        Set.of(),
                        Set.of(),
                        TimeSpan.seconds(0),
                        0.9)),
                List.of(
                    new HeadroomTerms(
                        "search",
                        Optional.of("search"),
                        Optional.of("vision"),
                        4,
                        0.2,
                        Set.of("a"),
                        0.5)),
                List.of(
                    new ExchangeTerms(
                        "serving",
                        Set.of("search"),
                        Set.of("resize"),
                        Set.of("vision"),
                        64,
                        0.1,
                        TimeSpan.seconds(10),
                        TimeSpan.seconds(60)))));
  }

  @Test
  void generalFileIsValidForAnyDeployment() throws Exception {
    Path file = Path.of("deploy/product.hcl");
    PolicyFile.validate(file, PolicyFile.read(file), platformSettings());
    ProductTerms terms = PolicyFile.read(file).product();
    assertThat(terms.batchDeadlines()).hasSize(1);
    assertThat(terms.headrooms()).extracting(HeadroomTerms::team).containsExactly(Optional.empty());
    assertThat(terms.exchanges()).hasSize(1);
  }

  @Test
  void versionAloneDeclaresEmptyTerms() throws Exception {
    assertThat(PolicyFile.read(policyFile("score {; alpha = 0.3; }\n")).product().isUndeclared())
        .isTrue();
    assertThat(PolicyFile.read(policyFile("product {; version = 7; }\n")).product())
        .isEqualTo(new ProductTerms(7, List.of(), List.of(), List.of()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "product {; versoin = 2; } | product: unknown field versoin",
        "product {; version = 0; } | product: version is out of range",
        "product {; version = 1.5; } | product: version is not an integer",
        "product = 3 | product must be a single block without a name",
        "dawn \"x\" {; byy = \"06:00\"; } | dawn \"x\": unknown field byy",
        "dawn \"x\" {; margin_s = 3; } | dawn \"x\": exactly one of by and every_s",
        "dawn \"x\" {; by = \"06:00\"; every_s = 60; } | dawn \"x\": exactly one of by and every_s",
        "dawn \"x\" {; by = \"06:00\"; lasts_s = 60; } | dawn \"x\": opens and zone require by",
        "dawn \"x\" {; every_s = 60; opens = \"06:00\"; } | dawn \"x\": opens and zone require by",
        "dawn \"x\" {; by = \"26:00\"; } | dawn \"x\": by is not a time of day",
        "dawn \"x\" {; by = \"06:00\"; opens = \"06:00\"; } | dawn \"x\": opens must differ from by",
        "dawn \"x\" {; by = \"06:00\"; zone = \"Moon/Sea\"; } | unknown time zone Moon/Sea",
        "dawn \"x\" {; every_s = 60; lasts_s = 90; } | dawn \"x\": lasts_s must not exceed every_s",
        "dawn \"x\" {; by = \"06:00\"; opens = \"05:00\"; margin_s = 3600; } | margin_s must be shorter",
        "dawn \"x\" {; every_s = 60; quantile = 1; } | dawn \"x\": quantile is out of range",
        "dawn \"x\" {; every_s = 60; teams = [\"nobody\"]; } | dawn \"x\": unknown team nobody",
        "dawn \"x\" {; every_s = 6; }; dawn \"x\" {; every_s = 7; } | \"x\" is defined twice",
        "dawn {; every_s = 6; } | dawn must be a block with a name",
        "headroom \"x\" {; replicas = 2; } | headroom \"x\": class or team is required",
        "headroom \"x\" {; team = \"crew\"; } | headroom \"x\": replicas or share must be",
        "headroom \"x\" {; team = \"crew\"; replicas = 1.5; } | replicas is not an integer",
        "headroom \"x\" {; team = \"nobody\"; share = 0.1; } | headroom \"x\": unknown team nobody",
        "headroom \"x\" {; team = \"crew\"; replicas = 3; } | more replicas than the team's CPU limit",
        "headroom \"x\" {; team = \"crew\"; share = 1; zones = [\"z\"]; } | unknown zone z",
        "headroom \"x\" {; team = \"crew\"; share = 1; warm = 2; } | warm is out of range",
        "exchange \"x\" {; takers = [\"a\", \"b\"]; givers = [\"b\"]; } | class b is both a taker and a giver",
        "exchange \"x\" {; most = 0; } | exchange \"x\": most is out of range",
        "exchange \"x\" {; teams = [\"nobody\"]; } | exchange \"x\": unknown team nobody",
        "exchange \"x\" {; takers = \"a\"; } | exchange \"x\": takers is not a list"
      })
  void invalidBlockIsRejectedWithAOneLineReason(String text, String reason) throws Exception {
    Path file = policyFile(text + "\n");
    Settings settings = platformSettings();
    assertThatThrownBy(() -> PolicyFile.validate(file, PolicyFile.read(file), settings))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining(reason)
        .hasMessageContaining(file.toString())
        .message()
        .doesNotContain("\n");
  }

  /** Terms that don't fit into a stored value must be rejected before they are written. */
  @Test
  void termsLargerThanAStoredValueAreRejected() throws Exception {
    StringBuilder text = new StringBuilder("dawn \"x\" {; every_s = 60; classes = [");
    for (int i = 0; i < 60; i++) {
      text.append('"').append("class-".repeat(12)).append(i).append("\", ");
    }
    Path file = policyFile(text.append("\"last\"]; }\n").toString());
    Settings settings = platformSettings();
    assertThatThrownBy(() -> PolicyFile.validate(file, PolicyFile.read(file), settings))
        .hasMessageContaining("bytes of a stored value");
  }
}
