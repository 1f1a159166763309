package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.planner.GroupKey;
import org.oakwalk.core.planner.PlanRow;

/** The stored form of plans for dawns and of what they rest on. */
final class PlanCodec implements SharedCodec.RowCodec<PlanRow> {
  private static final int MOST = Integer.MAX_VALUE;

  @Override
  public String sort() {
    return "plan";
  }

  @Override
  public Class<PlanRow> type() {
    return PlanRow.class;
  }

  @Override
  public void encode(PlanRow row, ObjectNode map) {
    if (row instanceof PlanRow.WindowRow night) {
      map.put("k", "night");
      map.put("dawn", night.dawnName());
      map.put("opens", night.opensAt().millis());
      map.put("at", night.deadline().millis());
      map.put("revised", night.revisedAt().millis());
      map.put("revisions", night.revisionCount());
      map.put("share", night.share());
      map.put("missing", night.missingMachineHours());
      map.put("machines", night.missingMachines());
      map.put("for_s", night.extraMachineSeconds());
    } else if (row instanceof PlanRow.GroupRow group) {
      map.put("k", "group");
      map.put("dawn", group.dawnName());
      map.put("team", group.key().team());
      map.put("class", group.key().jobClass());
      map.put("length", group.key().runTimeBand());
      map.put("size", group.key().taskCountBand());
      map.put("seen", group.acceptedTasks());
      map.put("promised", group.promisedTasks());
      map.put("start", group.startBy().millis());
      map.put("end", group.endBy().millis());
      map.put("last", group.latestStart().millis());
      map.put("missing", group.missingMachineHours());
    } else if (row instanceof PlanRow.RunTimeRow runs) {
      map.put("k", "runs");
      map.put("class", runs.jobClass());
      numbers(map.putArray("counts"), runs.histogram());
    } else if (row instanceof PlanRow.ArrivalRow coming) {
      map.put("k", "coming");
      map.put("dawn", coming.dawnName());
      map.put("team", coming.team());
      map.put("class", coming.jobClass());
      map.put("slice", coming.currentSlice());
      map.put("sum", coming.currentSeconds());
      map.put("run", coming.meanEstimate());
      map.put("cpus", coming.resources().cpus());
      map.put("gpus", coming.resources().gpus());
      map.put("mem", coming.resources().memoryGb());
      numbers(map.putArray("slices"), coming.secondsBySlice());
    } else if (row instanceof PlanRow.CapacityRow reach) {
      map.put("k", "reach");
      map.put("type", reach.type());
      map.put("zone", reach.zone());
      map.put("spot", reach.spot());
      map.put("most", reach.recentPeak());
      map.put("hours", reach.observedHours());
      map.put("losses", reach.reclaims());
    }
  }

  private static void numbers(ArrayNode list, List<Long> numbers) {
    numbers.forEach(list::add);
  }

  @Override
  public PlanRow decode(Fields map) throws BadMessage {
    String kind = map.text("k");
    return switch (kind) {
      case "night" ->
          new PlanRow.WindowRow(
              map.text("dawn"),
              time(map, "opens"),
              time(map, "at"),
              time(map, "revised"),
              (int) map.count("revisions", 0, MOST),
              map.amount("share"),
              map.amount("missing"),
              (int) map.count("machines", 0, MOST),
              map.count("for_s"));
      case "group" ->
          new PlanRow.GroupRow(
              map.text("dawn"),
              new GroupKey(
                  map.text("team"),
                  map.text("class"),
                  (int) map.count("length", -1, MOST),
                  (int) map.count("size", -1, MOST)),
              (int) map.count("seen", 0, MOST),
              (int) map.count("promised", 0, MOST),
              time(map, "start"),
              time(map, "end"),
              time(map, "last"),
              map.amount("missing"));
      case "runs" -> new PlanRow.RunTimeRow(map.text("class"), numbers(map, "counts"));
      case "coming" ->
          new PlanRow.ArrivalRow(
              map.text("dawn"),
              map.text("team"),
              map.text("class"),
              map.count("slice", -1, Long.MAX_VALUE),
              map.count("sum"),
              map.amount("run"),
              new Room(map.amount("cpus"), map.amount("gpus"), map.amount("mem")),
              numbers(map, "slices"));
      case "reach" ->
          new PlanRow.CapacityRow(
              map.text("type"),
              map.text("zone"),
              map.flag("spot"),
              map.amount("most"),
              map.amount("hours"),
              map.amount("losses"));
      default -> throw new BadMessage("row of a plan of unknown kind " + kind);
    };
  }

  private static WallTime time(Fields map, String name) throws BadMessage {
    return new WallTime(map.count(name, Long.MIN_VALUE, Long.MAX_VALUE));
  }

  private static List<Long> numbers(Fields map, String name) throws BadMessage {
    List<Long> numbers = new ArrayList<>();
    for (JsonNode item : map.list(name)) {
      if (!item.isIntegralNumber() || !item.canConvertToLong()) {
        throw new BadMessage("field " + name + " holds something other than integers");
      }
      numbers.add(item.longValue());
    }
    return numbers;
  }
}
