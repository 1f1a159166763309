package org.oakwalk.daemon;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;

/** Reads the operators' policy file (HCL). Unknown fields are rejected by name. */
public final class PolicyFile {
  private final Path file;
  private final Map<String, Object> root;
  private final Set<String> knownFields = new HashSet<>();

  private PolicyFile(Path file, Map<String, Object> root) {
    this.file = file;
    this.root = root;
  }

  /** Reads the file; fields that are absent have their default values. */
  public static Policy read(Path file) throws InvalidSettingsException {
    Map<String, Object> root;
    try {
      root = new HCLParser().parse(Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new InvalidSettingsException(file + ": no such file");
    } catch (IOException e) {
      throw new InvalidSettingsException(file + ": can't be read: " + e.getMessage());
    } catch (com.bertramlabs.plugins.hcl4j.HCLParserException | RuntimeException e) {
      throw new InvalidSettingsException(file + ": invalid HCL: " + e.getMessage());
    } catch (Error e) {
      // The HCL lexer throws java.lang.Error for characters that it does not know.
      throw new InvalidSettingsException(file + ": invalid HCL: " + e.getMessage());
    }
    return new PolicyFile(file, root).parsePolicy();
  }

  /**
   * Checks that the policy matches the platform settings, such as their zones and teams.
   *
   * @throws InvalidSettingsException if it does not; the message names the first mismatch
   */
  public static void validate(Path file, Policy policy, Settings settings)
      throws InvalidSettingsException {
    DrainPolicyReader.validate(file, policy.drains(), settings);
    ProductTermsReader.validate(file, policy.product(), settings);
  }

  private Policy parsePolicy() throws InvalidSettingsException {
    Policy defaults = Policy.defaults();
    Policy.ScoringPolicy scoring = defaults.scoring();
    Policy.PlacementPolicy placement = defaults.placement();
    Policy.CapacityPolicy capacity = defaults.capacity();
    Policy policy =
        new Policy(
            new Policy.ScoringPolicy(
                number("score", "alpha", 0, 1, scoring.alpha()),
                number("score", "deadline_weight", 0, 1000, scoring.deadlineWeight()),
                number("score", "remaining_weight", 0, 1000, scoring.remainingWeight()),
                number("score", "wait_weight", 0, 1000, scoring.waitWeight()),
                number("score", "guarantee_bonus", 0, 1e6, scoring.guaranteeBonus()),
                seconds("score", "floor_s", 0.001, 3600, scoring.minTimeLeft())),
            new Policy.PlacementPolicy(
                number("hosts", "mark", 0.1, 1, placement.maxUtilization()),
                number("hosts", "image_weight", 0, 100, placement.imageWeight()),
                (int)
                    number(
                        "hosts", "reserve_after_rounds", 1, 1000, placement.reserveAfterRounds())),
            seconds("rounds", "period_s", 0.1, 60, defaults.roundInterval()),
            new Policy.CapacityPolicy(
                number("capacity", "headroom", 0, 10, capacity.headroom()),
                (int) number("capacity", "spare_machines", 0, 1000, capacity.spareMachines()),
                seconds("capacity", "idle_s", 0, 86400, capacity.idleTimeout()),
                number("capacity", "spot_share", 0, 1, capacity.spotShare()),
                seconds("capacity", "suspect_after_s", 1, 3600, capacity.suspectAfter()),
                seconds("capacity", "boot_patience_s", 1, 86400, capacity.bootTimeout())),
            (int) number("admission", "open_jobs", 10, 1e6, defaults.maxOpenJobs()),
            DrainPolicyReader.read(file, root),
            ProductTermsReader.read(file, root));
    rejectUnknownFields();
    return policy;
  }

  private TimeSpan seconds(String block, String name, double min, double max, TimeSpan defaultValue)
      throws InvalidSettingsException {
    return TimeSpan.seconds(number(block, name, min, max, defaultValue.asSeconds()));
  }

  private double number(String block, String name, double min, double max, double defaultValue)
      throws InvalidSettingsException {
    knownFields.add(block + "." + name);
    Object table = root.get(block);
    if (table == null) {
      return defaultValue;
    }
    if (!(table instanceof Map<?, ?> fields)) {
      throw new InvalidSettingsException(file + ": " + block + " is not a block");
    }
    Object value = fields.get(name);
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Number number)) {
      throw new InvalidSettingsException(
          file + ": field " + block + "." + name + " is not a number");
    }
    if (!(number.doubleValue() >= min && number.doubleValue() <= max)) {
      throw new InvalidSettingsException(
          file + ": field " + block + "." + name + " is out of range, " + min + " to " + max);
    }
    return number.doubleValue();
  }

  private void rejectUnknownFields() throws InvalidSettingsException {
    for (Map.Entry<String, Object> block : root.entrySet()) {
      if (DrainPolicyReader.BLOCK_KINDS.contains(block.getKey())
          || ProductTermsReader.BLOCK_KINDS.contains(block.getKey())) {
        continue;
      }
      boolean known = knownFields.stream().anyMatch(name -> name.startsWith(block.getKey() + "."));
      if (!known || !(block.getValue() instanceof Map<?, ?> fields)) {
        throw new InvalidSettingsException(file + ": unknown field " + block.getKey());
      }
      for (Object name : fields.keySet()) {
        if (!knownFields.contains(block.getKey() + "." + name)) {
          throw new InvalidSettingsException(
              file + ": unknown field " + block.getKey() + "." + name);
        }
      }
    }
  }
}
