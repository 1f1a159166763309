package org.oakwalk.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Exit codes and error messages of the command line. */
class CommandLineTest {
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... args) {
    CommandLine line = Main.commandLine();
    line.setOut(new PrintWriter(out, true));
    line.setErr(new PrintWriter(err, true));
    return line.execute(args);
  }

  @Test
  void missingFileIsNamed() {
    assertThat(run("check", "--config", "no/such.toml")).isEqualTo(2);
    assertThat(err.toString().lines())
        .singleElement()
        .asString()
        .contains("no/such.toml: no such file");
  }

  @Test
  void missingConfigOptionIsRejected() {
    assertThat(run()).isEqualTo(2);
    assertThat(err.toString()).contains("--config");
  }

  @Test
  void unknownOptionIsRejected() {
    assertThat(run("--colour")).isEqualTo(2);
  }

  @Test
  void helpAndVersionSucceed() {
    assertThat(run("--help")).isZero();
    assertThat(out.toString()).contains("--config", "--policy", "check");
    assertThat(run("--version")).isZero();
  }

  @Test
  void rehearseStartsAndStopsANode() {
    assertThat(run("rehearse")).isZero();
  }
}
