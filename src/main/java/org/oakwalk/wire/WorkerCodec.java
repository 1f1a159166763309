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
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Workers' reports and the orders to them. */
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

  public static Report report(byte[] body) throws BadMessage {
    return report(new Fields(Pack.messagePackMap(body)));
  }

  static Report report(Fields fields) throws BadMessage {
    List<Report.ReportedTask> pieces = new ArrayList<>();
    if (fields.has("pieces")) {
      for (JsonNode item : fields.list("pieces")) {
        pieces.add(piece(Fields.of(item)));
      }
    }
    return new Report(
        new MachineId(fields.shortText("host")),
        fields.shortText("addr"),
        fields.shortText("flavor"),
        fields.shortText("region"),
        fields.flag("leftovers"),
        new SessionId(fields.count("shift")),
        fields.count("tick"),
        new Token(fields.has("baton") ? fields.count("baton") : 0),
        fields.optionalSeconds("warning_s"),
        pieces);
  }

  private static Report.ReportedTask piece(Fields fields) throws BadMessage {
    TaskId task = task(fields);
    Report.TaskState state = STATES.get(fields.text("status"));
    if (state == null) {
      throw new BadMessage("field status has an unknown value");
    }
    Report.Cause cause =
        state != Report.TaskState.ENDED
            ? null
            : CAUSES.getOrDefault(
                fields.has("cause") ? fields.text("cause") : "", Report.Cause.OTHER);
    return new Report.ReportedTask(task, new Attempt(fields.count("try")), state, cause);
  }

  /** The answer to a report. */
  public static byte[] orders(Token token, List<Order> orders) {
    ObjectNode map = Pack.map();
    map.put("baton", token.value());
    put(map, orders);
    return Pack.messagePack(map);
  }

  /** The answer of a node that does not lead. */
  public static byte[] elsewhere(Optional<NodeId> leader) {
    ObjectNode map = Pack.map();
    leader.ifPresent(node -> map.put("boss", node.value()));
    return Pack.messagePack(map);
  }

  static HttpMessage command(Request.Command command) {
    ObjectNode map = Pack.map();
    map.put("baton", command.token().value());
    map.put("shift", command.session().value());
    put(map, command.orders());
    return new HttpMessage("POST", COMMAND_PATH, Pack.messagePack(map));
  }

  static Answer commanded(int status, byte[] body) throws BadMessage {
    return switch (status) {
      case 200 -> new Answer.CommandResult(true, report(body));
      case 409 -> new Answer.CommandResult(false, report(body));
      case 400 -> new Answer.Refused(status, "");
      // Nothing that the protocol names: whoever answered so may have passed the command on.
      default -> new Answer.OutcomeUnknown("status " + status);
    };
  }

  /** A report as its worker sent it, to be carried on. */
  static void put(ObjectNode map, Report report) {
    map.put("host", report.machine().value());
    map.put("addr", report.address());
    map.put("flavor", report.type());
    map.put("region", report.zone());
    map.put("leftovers", report.spot());
    map.put("shift", report.session().value());
    map.put("tick", report.sequence());
    map.put("baton", report.token().value());
    report.reclaimNotice().ifPresent(left -> map.put("warning_s", left.asSeconds()));
    ArrayNode pieces = map.putArray("pieces");
    for (Report.ReportedTask piece : report.tasks()) {
      ObjectNode item = pieces.addObject();
      item.put("piece", piece.task().toString());
      item.put("try", piece.attempt().value());
      item.put("status", piece.state().name().toLowerCase(Locale.ROOT));
      if (piece.ended()) {
        item.put("cause", piece.cause().name().toLowerCase(Locale.ROOT));
      }
    }
  }

  /** Orders that a leader gives by way of another controller. */
  static List<Order> orders(Fields fields) throws BadMessage {
    List<Order> orders = new ArrayList<>();
    for (JsonNode node : fields.list("orders")) {
      Fields item = Fields.of(node);
      TaskId task = task(item);
      Attempt attempt = new Attempt(item.count("try"));
      String verb = item.text("verb");
      orders.add(
          switch (verb) {
            case "run" -> new Order.Run(task, attempt);
            case "halt" ->
                new Order.Halt(
                    task, attempt, item.optionalSeconds("wind_down_s").orElse(Span.millis(0)));
            case "clear" -> new Order.Clear(task, attempt);
            default -> throw new BadMessage("unknown order " + verb);
          });
    }
    return orders;
  }

  private static TaskId task(Fields fields) throws BadMessage {
    return TaskId.parse(fields.text("piece"))
        .orElseThrow(() -> new BadMessage("field piece is malformed"));
  }

  static void put(ObjectNode map, List<Order> orders) {
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
