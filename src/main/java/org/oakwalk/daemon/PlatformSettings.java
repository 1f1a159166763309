package org.oakwalk.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.adapter.Address;
import org.oakwalk.adapter.SocketBudget;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;

/**
 * The settings file provided by the platform (TOML). Unknown fields are ignored.
 *
 * @param core settings used by the core
 * @param listenAddress address on which the node serves users and workers
 * @param peerListenAddress address on which the node serves other controller nodes
 * @param peers addresses of the other controller nodes
 * @param cloudAddress address of the cloud interface
 * @param stateServiceAddress address of the state service
 * @param socketBudget limits on open sockets
 */
public record PlatformSettings(
    Settings core,
    Address listenAddress,
    Address peerListenAddress,
    Map<NodeId, String> peers,
    String cloudAddress,
    String stateServiceAddress,
    SocketBudget socketBudget) {
  private static final double DEFAULT_FD_LIMIT = 1024;

  /** A job record, or one chunk of a job's results, may take nearly 4 KiB. */
  private static final double MIN_VALUE_KB = 4;

  /** Reads and validates the file. */
  public static PlatformSettings read(Path file) throws InvalidSettingsException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new InvalidSettingsException(file + ": no such file");
    } catch (IOException e) {
      String reason =
          e.getMessage() == null ? "unreadable" : e.getMessage().lines().findFirst().orElse("");
      throw new InvalidSettingsException(file + ": can't be read: " + reason);
    }
    return new TableReader(file, "", root).settings();
  }

  /** Reads the fields of one table; error messages contain the field's full path. */
  private record TableReader(Path file, String path, JsonNode node) {

    PlatformSettings settings() throws InvalidSettingsException {
      TableReader outside = table("outside");
      TableReader facts = table("facts");
      Map<NodeId, String> peers = new LinkedHashMap<>();
      NodeId self = new NodeId(text("node"));
      for (TableReader member : tables("members")) {
        NodeId node = new NodeId(member.text("node"));
        if (!node.equals(self)) {
          member.address("addr");
          peers.put(node, member.text("addr"));
        }
      }
      outside.address("cloud");
      outside.address("state");
      Settings core =
          new Settings(
              self,
              text("domain"),
              List.copyOf(peers.keySet()),
              facts.textList("zones"),
              facts.teams(),
              facts.objectives(),
              facts.table("workers").workerTiming(),
              facts.table("state").stateLimits(),
              facts.table("cloud").cloudLimits(),
              TimeSpan.seconds(facts.number("clock_off_ms", 0, 1e9, 0) / 1000));
      return new PlatformSettings(
          core,
          address("serve_on"),
          address("cluster_listen"),
          peers,
          outside.text("cloud"),
          outside.text("state"),
          facts.socketBudget(peers.size()));
    }

    private SocketBudget socketBudget(int peers) throws InvalidSettingsException {
      int total = (int) DEFAULT_FD_LIMIT;
      if (node.has("quota")) {
        total = (int) table("quota").number("fd_limit", 64, 1e6, DEFAULT_FD_LIMIT);
      }
      return new SocketBudget(total, peers);
    }

    private Map<String, Settings.Team> teams() throws InvalidSettingsException {
      Map<String, Settings.Team> teams = new LinkedHashMap<>();
      for (TableReader team : tables("teams")) {
        Settings.Team read =
            new Settings.Team(
                team.text("name"),
                team.number("cpus", 0, 1e9, 0),
                team.number("cpus_max", 0, 1e9, 0),
                team.number("gpus", 0, 1e9, 0),
                team.number("gpus_max", 0, 1e9, 0));
        teams.put(read.name(), read);
      }
      return teams;
    }

    private List<Settings.Objective> objectives() throws InvalidSettingsException {
      List<Settings.Objective> objectives = new ArrayList<>();
      for (TableReader objective : tables("objectives")) {
        objectives.add(
            new Settings.Objective(
                objective.text("kind"),
                objective.node().path("class").asText(""),
                objective.number("within_s", 0, 1e9, 0),
                objective.number("share", 0, 1, 0),
                objective.number("times", 0, 1e6, 1)));
      }
      return objectives;
    }

    private Settings.WorkerTiming workerTiming() throws InvalidSettingsException {
      Settings.WorkerTiming timing =
          new Settings.WorkerTiming(
              TimeSpan.seconds(number("report_s", 0.01, 3600)),
              TimeSpan.seconds(number("lease_s", 0.1, 86400)),
              TimeSpan.seconds(number("cancel_s", 0.1, 86400)));
      if (timing.reportInterval().compareTo(timing.leaseDuration()) >= 0) {
        throw invalid("lease_s", "must be larger than report_s");
      }
      if (timing.leaseDuration().compareTo(timing.cancelDeadline()) >= 0) {
        throw invalid("cancel_s", "must be larger than lease_s");
      }
      return timing;
    }

    private Settings.StateLimits stateLimits() throws InvalidSettingsException {
      return new Settings.StateLimits(
          number("rps", 1, 1e9),
          number("write_rps", 1, 1e9),
          number("value_kb", MIN_VALUE_KB, 1e6),
          (int) number("txn_ops", 1, 1e6));
    }

    private Settings.CloudLimits cloudLimits() throws InvalidSettingsException {
      return new Settings.CloudLimits(
          number("rps", 0.01, 1e9), TimeSpan.seconds(number("list_lag_s", 0, 3600)));
    }

    private InvalidSettingsException invalid(String name, String problem) {
      return new InvalidSettingsException(file + ": field " + qualifiedName(name) + " " + problem);
    }

    private String qualifiedName(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }

    TableReader table(String name) throws InvalidSettingsException {
      JsonNode child = node.get(name);
      if (child == null || !child.isObject()) {
        throw invalid(name, "is missing or not a table");
      }
      return new TableReader(file, qualifiedName(name), child);
    }

    List<TableReader> tables(String name) throws InvalidSettingsException {
      List<TableReader> tables = new ArrayList<>();
      JsonNode child = node.path(name);
      if (child instanceof MissingNode) {
        return tables;
      }
      if (!child.isArray()) {
        throw invalid(name, "is not an array of tables");
      }
      for (JsonNode item : child) {
        if (!item.isObject()) {
          throw invalid(name, "is not an array of tables");
        }
        tables.add(new TableReader(file, qualifiedName(name) + "[" + tables.size() + "]", item));
      }
      return tables;
    }

    String text(String name) throws InvalidSettingsException {
      JsonNode value = node.get(name);
      if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
        throw invalid(name, "is missing or not a string");
      }
      return value.textValue();
    }

    List<String> textList(String name) throws InvalidSettingsException {
      List<String> texts = new ArrayList<>();
      JsonNode value = node.get(name);
      if (value == null || !value.isArray()) {
        throw invalid(name, "is missing or not a list");
      }
      for (JsonNode item : value) {
        if (!item.isTextual()) {
          throw invalid(name, "must contain only strings");
        }
        texts.add(item.textValue());
      }
      return texts;
    }

    Address address(String name) throws InvalidSettingsException {
      try {
        return Address.parse(text(name));
      } catch (IllegalArgumentException e) {
        throw invalid(name, "is " + e.getMessage());
      }
    }

    double number(String name, double min, double max) throws InvalidSettingsException {
      JsonNode value = node.get(name);
      if (value == null || !value.isNumber()) {
        throw invalid(name, "is missing or not a number");
      }
      double number = value.doubleValue();
      if (!(number >= min && number <= max)) {
        throw invalid(name, "is out of range, " + min + " to " + max);
      }
      return number;
    }

    double number(String name, double min, double max, double defaultValue)
        throws InvalidSettingsException {
      return node.has(name) ? number(name, min, max) : defaultValue;
    }
  }
}
