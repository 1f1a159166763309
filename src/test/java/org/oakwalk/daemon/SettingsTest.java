package org.oakwalk.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;

/** Reading and validation of the platform's settings file and of the operators' policy file. */
class SettingsTest {
  static final String PLATFORM_TOML =
      """
      node = "n-0"
      domain = "a"
      serve_on = "127.0.0.1:0"
      cluster_listen = "127.0.0.1:0"
      later = "ignored"
      [[members]]
      node = "n-1"
      domain = "a"
      addr = "127.0.0.1:9"
      [outside]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:2"
      [facts]
      zones = ["a"]
      [[facts.teams]]
      name = "crew"
      cpus = 1.0
      cpus_max = 2.0
      [[facts.objectives]]
      kind = "wait"
      class = "web"
      within_s = 3.0
      share = 0.85
      [facts.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 45.0
      [facts.state]
      rps = 80.0
      write_rps = 15.0
      value_kb = 4.0
      txn_ops = 8
      [facts.cloud]
      rps = 4.0
      list_lag_s = 6.0
      [facts.quota]
      fd_limit = 1200
      """;

  @TempDir private Path folder;

  private Path settingsFile(String text) throws IOException {
    return Files.writeString(folder.resolve("settings"), text);
  }

  @Test
  void platformFileIsRead() throws Exception {
    PlatformSettings settings = PlatformSettings.read(settingsFile(PLATFORM_TOML));
    assertThat(settings.core().workers().leaseDuration()).isEqualTo(TimeSpan.seconds(20));
    assertThat(settings.core().teams().get("crew").cpusMax()).isEqualTo(2);
    assertThat(settings.core().objectives().get(0).jobClass()).isEqualTo("web");
    assertThat(settings.peers().values()).containsExactly("127.0.0.1:9");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "node = \"n-0\" | node = 7 | node",
        "lease_s = 20.0 | lease_s = -1.0 | facts.workers.lease_s",
        "lease_s = 20.0 | lease_s = 50.0 | facts.workers.cancel_s",
        "report_s = 3.0 | report_s = 20.0 | facts.workers.lease_s",
        "value_kb = 4.0 | value_kb = 1.0 | facts.state.value_kb",
        "rps = 80.0 | rps = nan | facts.state.rps",
        "txn_ops = 8 | txn = 8 | facts.state.txn_ops",
        "serve_on = \"127.0.0.1:0\" | serve_on = \"here\" | serve_on",
        "addr = \"127.0.0.1:9\" | addr = \"127.0.0.1:99999\" | members[0].addr",
        "zones = [\"a\"] | zones = \"a\" | facts.zones",
        "name = \"crew\" | name = [] | facts.teams[0].name",
        "fd_limit = 1200 | fd_limit = 12 | facts.quota.fd_limit"
      })
  void invalidPlatformFieldIsNamed(String validLine, String invalidLine, String field)
      throws Exception {
    Path file = settingsFile(PLATFORM_TOML.replace(validLine, invalidLine));
    assertThatThrownBy(() -> PlatformSettings.read(file))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining(file.toString())
        .hasMessageContaining("field " + field + " ");
  }

  @Test
  void missingFileAndInvalidTomlAreRejected() throws Exception {
    Path broken = settingsFile("node = ");
    assertThatThrownBy(() -> PlatformSettings.read(broken))
        .isInstanceOf(InvalidSettingsException.class);
    assertThatThrownBy(() -> PlatformSettings.read(folder.resolve("none")))
        .hasMessageContaining("no such file");
  }

  @Test
  void policyFileOverridesDefaults() throws Exception {
    Policy policy =
        PolicyFile.read(settingsFile("score {\n  alpha = 0.4\n}\nrounds {\n  period_s = 1\n}\n"));
    assertThat(policy.scoring().alpha()).isEqualTo(0.4);
    assertThat(policy.roundInterval()).isEqualTo(TimeSpan.seconds(1));
    assertThat(policy.placement()).isEqualTo(Policy.defaults().placement());
  }

  @Test
  void exampleFileEqualsTheDefaults() throws Exception {
    assertThat(PolicyFile.read(Path.of("deploy/policy.example.hcl"))).isEqualTo(Policy.defaults());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "score { beta = 1 } | score.beta",
        "scores { alpha = 1 } | scores",
        "score { alpha = 2 } | score.alpha",
        "score { alpha = \"x\" } | score.alpha",
        "score = 3 | score"
      })
  void invalidPolicyFieldIsNamed(String text, String field) throws Exception {
    Path file = settingsFile(text + "\n");
    assertThatThrownBy(() -> PolicyFile.read(file))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining(field);
  }
}
