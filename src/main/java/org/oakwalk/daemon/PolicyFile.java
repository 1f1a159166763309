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
import org.oakwalk.core.Span;

/** The operators' own settings, in HCL. Fields that are not known are refused by name. */
public final class PolicyFile {
  private final Path file;
  private final Map<String, Object> root;
  private final Set<String> asked = new HashSet<>();

  private PolicyFile(Path file, Map<String, Object> root) {
    this.file = file;
    this.root = root;
  }

  /** Reads and checks the file; what it leaves out has its default. */
  public static Policy read(Path file) throws BadSettings {
    Map<String, Object> root;
    try {
      root = new HCLParser().parse(Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new BadSettings(file + ": no such file");
    } catch (IOException e) {
      throw new BadSettings(file + ": can't be read: " + e.getMessage());
    } catch (com.bertramlabs.plugins.hcl4j.HCLParserException | RuntimeException e) {
      throw new BadSettings(file + ": not HCL: " + e.getMessage());
    } catch (Error e) {
      // The lexer reports characters it does not know as errors.
      throw new BadSettings(file + ": not HCL: " + e.getMessage());
    }
    return new PolicyFile(file, root).policy();
  }

  /**
   * Looks whether the operators' settings fit the platform's.
   *
   * @throws BadSettings naming the first thing that does not
   */
  public static void check(Path file, Policy policy, Settings settings) throws BadSettings {
    DrainFile.check(file, policy.drains(), settings);
    ProductFile.check(file, policy.product(), settings);
  }

  private Policy policy() throws BadSettings {
    Policy defaults = Policy.defaults();
    Policy.ScoringPolicy scoring = defaults.scoring();
    Policy.PlacementPolicy hosts = defaults.placement();
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
                number("hosts", "mark", 0.1, 1, hosts.maxUtilization()),
                number("hosts", "image_weight", 0, 100, hosts.imageWeight()),
                (int) number("hosts", "reserve_after_rounds", 1, 1000, hosts.reserveAfterRounds())),
            seconds("rounds", "period_s", 0.1, 60, defaults.roundInterval()),
            new Policy.CapacityPolicy(
                number("capacity", "headroom", 0, 10, capacity.headroom()),
                (int) number("capacity", "spare_machines", 0, 1000, capacity.spareMachines()),
                seconds("capacity", "idle_s", 0, 86400, capacity.idleTimeout()),
                number("capacity", "spot_share", 0, 1, capacity.spotShare()),
                seconds("capacity", "suspect_after_s", 1, 3600, capacity.suspectAfter()),
                seconds("capacity", "boot_patience_s", 1, 86400, capacity.bootTimeout())),
            (int) number("admission", "open_jobs", 10, 1e6, defaults.maxOpenJobs()),
            DrainFile.read(file, root),
            ProductFile.read(file, root));
    refuseOthers();
    return policy;
  }

  private Span seconds(String block, String name, double least, double most, Span otherwise)
      throws BadSettings {
    return Span.seconds(number(block, name, least, most, otherwise.asSeconds()));
  }

  private double number(String block, String name, double least, double most, double otherwise)
      throws BadSettings {
    asked.add(block + "." + name);
    Object table = root.get(block);
    if (table == null) {
      return otherwise;
    }
    if (!(table instanceof Map<?, ?> fields)) {
      throw new BadSettings(file + ": " + block + " is not a block");
    }
    Object value = fields.get(name);
    if (value == null) {
      return otherwise;
    }
    if (!(value instanceof Number number)) {
      throw new BadSettings(file + ": field " + block + "." + name + " is not a number");
    }
    if (!(number.doubleValue() >= least && number.doubleValue() <= most)) {
      throw new BadSettings(
          file + ": field " + block + "." + name + " is out of range, " + least + " to " + most);
    }
    return number.doubleValue();
  }

  private void refuseOthers() throws BadSettings {
    for (Map.Entry<String, Object> block : root.entrySet()) {
      if (DrainFile.BLOCKS.contains(block.getKey())
          || ProductFile.BLOCKS.contains(block.getKey())) {
        continue;
      }
      boolean known = asked.stream().anyMatch(name -> name.startsWith(block.getKey() + "."));
      if (!known || !(block.getValue() instanceof Map<?, ?> fields)) {
        throw new BadSettings(file + ": unknown field " + block.getKey());
      }
      for (Object name : fields.keySet()) {
        if (!asked.contains(block.getKey() + "." + name)) {
          throw new BadSettings(file + ": unknown field " + block.getKey() + "." + name);
        }
      }
    }
  }
}
