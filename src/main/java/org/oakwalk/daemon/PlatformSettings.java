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
import org.oakwalk.core.Span;

/** The file that the platform hands over. Fields that are not known are ignored. */
public record PlatformSettings(
    Settings core,
    Address serveOn,
    Address peerListen,
    Map<NodeId, String> peers,
    String cloud,
    String state,
    SocketBudget sockets) {
  private static final double DEFAULT_SOCKETS = 1024;

  /** A job's record and a part of its results may take nearly as much. */
  private static final double LEAST_VALUE_KB = 4;

  /** Reads and checks the file. */
  public static PlatformSettings read(Path file) throws BadSettings {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(Files.readString(file));
    } catch (NoSuchFileException e) {
      throw new BadSettings(file + ": no such file");
    } catch (IOException e) {
      String reason =
          e.getMessage() == null ? "unreadable" : e.getMessage().lines().findFirst().orElse("");
      throw new BadSettings(file + ": can't be read: " + reason);
    }
    return new Reader(file, "", root).settings();
  }

  /** Reads fields of one table and names them fully when something is wrong. */
  private record Reader(Path file, String path, JsonNode node) {

    PlatformSettings settings() throws BadSettings {
      Reader outside = table("outside");
      Reader facts = table("facts");
      Map<NodeId, String> peers = new LinkedHashMap<>();
      NodeId self = new NodeId(text("node"));
      for (Reader member : tables("members")) {
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
              facts.texts("zones"),
              facts.teams(),
              facts.objectives(),
              facts.table("workers").workers(),
              facts.table("state").stateLimits(),
              facts.table("cloud").cloudLimits(),
              Span.seconds(facts.number("clock_off_ms", 0, 1e9, 0) / 1000));
      return new PlatformSettings(
          core,
          address("serve_on"),
          address("cluster_listen"),
          peers,
          outside.text("cloud"),
          outside.text("state"),
          facts.sockets(peers.size()));
    }

    private SocketBudget sockets(int peers) throws BadSettings {
      int total = (int) DEFAULT_SOCKETS;
      if (node.has("quota")) {
        total = (int) table("quota").number("fd_limit", 64, 1e6, DEFAULT_SOCKETS);
      }
      return new SocketBudget(total, peers);
    }

    private Map<String, Settings.Team> teams() throws BadSettings {
      Map<String, Settings.Team> teams = new LinkedHashMap<>();
      for (Reader team : tables("teams")) {
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

    private List<Settings.Objective> objectives() throws BadSettings {
      List<Settings.Objective> objectives = new ArrayList<>();
      for (Reader objective : tables("objectives")) {
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

    private Settings.WorkerTiming workers() throws BadSettings {
      Settings.WorkerTiming workers =
          new Settings.WorkerTiming(
              Span.seconds(number("report_s", 0.01, 3600)),
              Span.seconds(number("lease_s", 0.1, 86400)),
              Span.seconds(number("cancel_s", 0.1, 86400)));
      if (workers.reportInterval().compareTo(workers.leaseDuration()) >= 0) {
        throw bad("lease_s", "must be larger than report_s");
      }
      if (workers.leaseDuration().compareTo(workers.cancelDeadline()) >= 0) {
        throw bad("cancel_s", "must be larger than lease_s");
      }
      return workers;
    }

    private Settings.StateLimits stateLimits() throws BadSettings {
      return new Settings.StateLimits(
          number("rps", 1, 1e9),
          number("write_rps", 1, 1e9),
          number("value_kb", LEAST_VALUE_KB, 1e6),
          (int) number("txn_ops", 1, 1e6));
    }

    private Settings.CloudLimits cloudLimits() throws BadSettings {
      return new Settings.CloudLimits(
          number("rps", 0.01, 1e9), Span.seconds(number("list_lag_s", 0, 3600)));
    }

    private BadSettings bad(String name, String what) {
      return new BadSettings(file + ": field " + full(name) + " " + what);
    }

    private String full(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }

    Reader table(String name) throws BadSettings {
      JsonNode child = node.get(name);
      if (child == null || !child.isObject()) {
        throw bad(name, "is missing or not a table");
      }
      return new Reader(file, full(name), child);
    }

    List<Reader> tables(String name) throws BadSettings {
      List<Reader> tables = new ArrayList<>();
      JsonNode child = node.path(name);
      if (child instanceof MissingNode) {
        return tables;
      }
      if (!child.isArray()) {
        throw bad(name, "is not a list of tables");
      }
      for (JsonNode item : child) {
        if (!item.isObject()) {
          throw bad(name, "is not a list of tables");
        }
        tables.add(new Reader(file, full(name) + "[" + tables.size() + "]", item));
      }
      return tables;
    }

    String text(String name) throws BadSettings {
      JsonNode value = node.get(name);
      if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
        throw bad(name, "is missing or not text");
      }
      return value.textValue();
    }

    List<String> texts(String name) throws BadSettings {
      List<String> texts = new ArrayList<>();
      JsonNode value = node.get(name);
      if (value == null || !value.isArray()) {
        throw bad(name, "is missing or not a list");
      }
      for (JsonNode item : value) {
        if (!item.isTextual()) {
          throw bad(name, "holds something other than text");
        }
        texts.add(item.textValue());
      }
      return texts;
    }

    Address address(String name) throws BadSettings {
      try {
        return Address.parse(text(name));
      } catch (IllegalArgumentException e) {
        throw bad(name, "is " + e.getMessage());
      }
    }

    double number(String name, double least, double most) throws BadSettings {
      JsonNode value = node.get(name);
      if (value == null || !value.isNumber()) {
        throw bad(name, "is missing or not a number");
      }
      double number = value.doubleValue();
      if (!(number >= least && number <= most)) {
        throw bad(name, "is out of range, " + least + " to " + most);
      }
      return number;
    }

    double number(String name, double least, double most, double otherwise) throws BadSettings {
      return node.has(name) ? number(name, least, most) : otherwise;
    }
  }
}
