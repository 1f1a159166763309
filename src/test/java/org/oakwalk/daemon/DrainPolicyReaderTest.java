package org.oakwalk.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.drain.DisruptionBudget;
import org.oakwalk.core.drain.DrainPlan;

/** Reading and validation of {@code drain} and {@code budget} blocks. */
class DrainPolicyReaderTest {
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
    Policy policy = PolicyFile.read(Path.of("deploy/drain.example.hcl"));
    assertThat(policy.drains().plans())
        .containsExactly(
            new DrainPlan(
                "new-image",
                1,
                DrainPlan.Status.RUNNING,
                Set.of("a"),
                Set.of("g8"),
                Optional.of(false),
                Set.of("host-000231", "host-000232"),
                DrainPlan.DrainMode.REPLACE,
                10,
                10,
                TimeSpan.seconds(5),
                TimeSpan.seconds(120),
                TimeSpan.seconds(5),
                TimeSpan.seconds(15)));
    assertThat(policy.drains().budgets())
        .containsExactly(
            new DisruptionBudget("vision", Optional.empty(), 0.1, Optional.of(600)),
            new DisruptionBudget("vision", Optional.of("search"), 2, Optional.empty()));
  }

  @Test
  void wildcardBudgetAppliesToEachTeam() throws Exception {
    Policy policy = PolicyFile.read(Path.of("deploy/roll.hcl"));
    PolicyFile.validate(Path.of("deploy/roll.hcl"), policy, platformSettings());
    assertThat(policy.drains().budgetsFor(platformSettings().teams().keySet()))
        .containsExactly(new DisruptionBudget("crew", Optional.empty(), 1, Optional.empty()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "drain \"x\" {; stepp = 2; } | drain \"x\": unknown field stepp",
        "drain \"x\" {; step = 0; } | drain \"x\": step must be",
        "drain \"x\" {; step = 2.5; } | drain \"x\": step must be",
        "drain \"x\" {; then = \"burn\"; } | drain \"x\": then must be one of replace, return",
        "drain \"x\" {; state = 7; } | drain \"x\": state is not a string",
        "drain \"x\" {; zones = \"a\"; } | drain \"x\": zones is not a list",
        "drain \"x\" {; zones = [\"z\"]; } | drain \"x\": unknown zone z",
        "drain \"x\" {; step = 1; }; drain \"x\" {; step = 2; } | drain \"x\" is defined twice",
        "drain \"x y\" {; step = 1; } | drain names must consist of 1 to 40 letters, digits or dashes",
        "drain {; step = 1; } | drain must be a block with a name",
        "drain = 3 | drain must be a block with a name",
        "budget \"nobody\" {; down = 1; } | budget \"nobody\": unknown team nobody",
        "budget \"crew\" {; down = 1.5; } | budget \"crew\": down must be",
        "budget \"crew\" {; up = 1; } | budget \"crew\": unknown field up",
        "budget \"crew\" {; down = 1; }; budget \"crew\" {; down = 2; } | \"crew\" is defined twice",
        "drain \"x\" {; step = 1; }; budget \"crew\" {; down = 0; } | drain \"x\" can never end",
        "drain \"x\" {; step = 1; }; budget \"*\" {; stops_per_hour = 0; } | can never end"
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
}
