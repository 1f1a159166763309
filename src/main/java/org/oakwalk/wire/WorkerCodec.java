package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Decodes workers' reports and encodes orders to workers. */
public final class WorkerCodec {
  public static final String REPORT_PATH = "/hello";
  private static final String COMMAND_PATH = "/do";

  private static final Map<String, Report.TaskState> STATES =
      Map.of(
          "fetching", Report.TaskState.FETCHING,
          "gathering", Report.TaskState.GATHERING,
          "running", Report.TaskState.RUNNING,
          "flushing", Report.TaskState.FLUSHING,
          "ended", Report.TaskState.ENDED);
  private static final Map<String, Report.Cause> CAUSES =
      Map.of(
          "done", Report.Cause.DONE,
          "halted", Report.Cause.HALTED,
          "error", Report.Cause.ERROR,
          "no_room", Report.Cause.NO_ROOM,
          "busy", Report.Cause.BUSY,
          "unknown", Report.Cause.UNKNOWN);

  private WorkerCodec() {}

  /** Decodes a report. */
  public static Report report(byte[] body) throws MalformedMessageException {
    return report(new FieldReader(BinaryEncoding.decodeMessagePackMap(body)));
  }

  static Report report(FieldReader fields) throws MalformedMessageException {
    List<Report.ReportedTask> tasks = new ArrayList<>();
    if (fields.has("pieces")) {
      for (JsonNode item : fields.list("pieces")) {
        tasks.add(reportedTask(FieldReader.ofMap(item)));
      }
    }
    return new Report(
        new MachineId(fields.shortText("host")),
        fields.shortText("addr"),
        fields.shortText("flavor"),
        fields.shortText("region"),
        fields.bool("leftovers"),
        new SessionId(fields.count("shift")),
        fields.count("tick"),
        new Token(fields.has("baton") ? fields.count("baton") : 0),
        fields.optionalSeconds("warning_s"),
        tasks);
  }

  private static Report.ReportedTask reportedTask(FieldReader fields)
      throws MalformedMessageException {
    TaskId task = taskId(fields);
    Report.TaskState state = STATES.get(fields.text("status"));
    if (state == null) {
      throw new MalformedMessageException("field status has an unknown value");
    }
    Report.Cause cause =
        state != Report.TaskState.ENDED
            ? null
            : CAUSES.getOrDefault(
                fields.has("cause") ? fields.text("cause") : "", Report.Cause.OTHER);
    return new Report.ReportedTask(task, new Attempt(fields.count("try")), state, cause);
  }

  /** Encodes the leader's response to a report. */
  public static byte[] orders(Token token, List<Order> orders) {
    ObjectNode map = BinaryEncoding.newMap();
    map.put("baton", token.value());
    write(map, orders);
    return BinaryEncoding.encodeMessagePack(map);
  }

  /** Encodes the response of a node that doesn't lead, with the name of the leader if known. */
  public static byte[] redirect(Optional<NodeId> leader) {
    ObjectNode map = BinaryEncoding.newMap();
    leader.ifPresent(node -> map.put("boss", node.value()));
    return BinaryEncoding.encodeMessagePack(map);
  }

  static OutgoingRequest command(Request.Command command) {
    ObjectNode map = BinaryEncoding.newMap();
    map.put("baton", command.token().value());
    map.put("shift", command.session().value());
    write(map, command.orders());
    return new OutgoingRequest("POST", COMMAND_PATH, BinaryEncoding.encodeMessagePack(map));
  }

  /** Converts the HTTP response to a command to an answer; 409 is a rejected command. */
  static Answer commandResult(int status, byte[] body) throws MalformedMessageException {
    return switch (status) {
      case 200 -> new Answer.CommandResult(true, report(body));
      case 409 -> new Answer.CommandResult(false, report(body));
      case 400 -> new Answer.Refused(status, "");
      // A status outside the protocol may come from a proxy that has forwarded the command.
      // The outcome is unknown.
      default -> new Answer.OutcomeUnknown("status " + status);
    };
  }

  /** Writes a report in the form in which its worker sent it, to forward it to the leader. */
  static void write(ObjectNode map, Report report) {
    map.put("host", report.machine().value());
    map.put("addr", report.address());
    map.put("flavor", report.type());
    map.put("region", report.zone());
    map.put("leftovers", report.spot());
    map.put("shift", report.session().value());
    map.put("tick", report.sequence());
    map.put("baton", report.token().value());
    report.reclaimNotice().ifPresent(remaining -> map.put("warning_s", remaining.asSeconds()));
    ArrayNode tasks = map.putArray("pieces");
    for (Report.ReportedTask task : report.tasks()) {
      ObjectNode item = tasks.addObject();
      item.put("piece", task.task().toString());
      item.put("try", task.attempt().value());
      item.put("status", task.state().name().toLowerCase(Locale.ROOT));
      if (task.ended()) {
        item.put("cause", task.cause().name().toLowerCase(Locale.ROOT));
      }
    }
  }

  /** Decodes the leader's orders for a worker whose report another controller forwarded. */
  static List<Order> orders(FieldReader fields) throws MalformedMessageException {
    List<Order> orders = new ArrayList<>();
    for (JsonNode node : fields.list("orders")) {
      FieldReader item = FieldReader.ofMap(node);
      TaskId task = taskId(item);
      Attempt attempt = new Attempt(item.count("try"));
      String verb = item.text("verb");
      orders.add(
          switch (verb) {
            case "run" -> new Order.Run(task, attempt);
            case "halt" ->
                new Order.Halt(
                    task, attempt, item.optionalSeconds("wind_down_s").orElse(TimeSpan.millis(0)));
            case "clear" -> new Order.Clear(task, attempt);
            default -> throw new MalformedMessageException("unknown order " + verb);
          });
    }
    return orders;
  }

  private static TaskId taskId(FieldReader fields) throws MalformedMessageException {
    return TaskId.parse(fields.text("piece"))
        .orElseThrow(() -> new MalformedMessageException("field piece is malformed"));
  }

  static void write(ObjectNode map, List<Order> orders) {
    ArrayNode list = map.putArray("orders");
    for (Order order : orders) {
      ObjectNode item = list.addObject();
      if (order instanceof Order.Run) {
        item.put("verb", "run");
      } else if (order instanceof Order.Halt) {
        item.put("verb", "halt");
      } else {
        item.put("verb", "clear");
      }
      item.put("piece", order.task().toString());
      item.put("try", order.attempt().value());
      if (order instanceof Order.Halt halt) {
        item.put("wind_down_s", halt.grace().asSeconds());
      }
    }
  }
}
