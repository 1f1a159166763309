package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.planner.GroupKey;
import org.oakwalk.core.planner.PlanRow;

/** Encodes and decodes stored rows of deadline plans and of the statistics behind them. */
final class PlanRowCodec implements SharedRecordCodec.RowCodec<PlanRow> {
  private static final int MAX_COUNT = Integer.MAX_VALUE;

  @Override
  public String typeTag() {
    return "plan";
  }

  @Override
  public Class<PlanRow> rowClass() {
    return PlanRow.class;
  }

  @Override
  public void encode(PlanRow row, ObjectNode map) {
    if (row instanceof PlanRow.WindowRow window) {
      map.put("k", "night");
      map.put("dawn", window.dawnName());
      map.put("opens", window.opensAt().millis());
      map.put("at", window.deadline().millis());
      map.put("revised", window.revisedAt().millis());
      map.put("revisions", window.revisionCount());
      map.put("share", window.share());
      map.put("missing", window.missingMachineHours());
      map.put("machines", window.missingMachines());
      map.put("for_s", window.extraMachineSeconds());
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
    } else if (row instanceof PlanRow.RunTimeRow runTimes) {
      map.put("k", "runs");
      map.put("class", runTimes.jobClass());
      numbers(map.putArray("counts"), runTimes.histogram());
    } else if (row instanceof PlanRow.ArrivalRow arrivals) {
      map.put("k", "coming");
      map.put("dawn", arrivals.dawnName());
      map.put("team", arrivals.team());
      map.put("class", arrivals.jobClass());
      map.put("slice", arrivals.currentSlice());
      map.put("sum", arrivals.currentSeconds());
      map.put("run", arrivals.meanEstimate());
      map.put("cpus", arrivals.resources().cpus());
      map.put("gpus", arrivals.resources().gpus());
      map.put("mem", arrivals.resources().memoryGb());
      numbers(map.putArray("slices"), arrivals.secondsBySlice());
    } else if (row instanceof PlanRow.CapacityRow capacity) {
      map.put("k", "reach");
      map.put("type", capacity.type());
      map.put("zone", capacity.zone());
      map.put("spot", capacity.spot());
      map.put("most", capacity.recentPeak());
      map.put("hours", capacity.observedHours());
      map.put("losses", capacity.reclaims());
    }
  }

  private static void numbers(ArrayNode list, List<Long> numbers) {
    numbers.forEach(list::add);
  }

  @Override
  public PlanRow decode(FieldReader map) throws MalformedMessageException {
    String kind = map.text("k");
    return switch (kind) {
      case "night" ->
          new PlanRow.WindowRow(
              map.text("dawn"),
              time(map, "opens"),
              time(map, "at"),
              time(map, "revised"),
              (int) map.count("revisions", 0, MAX_COUNT),
              map.amount("share"),
              map.amount("missing"),
              (int) map.count("machines", 0, MAX_COUNT),
              map.count("for_s"));
      case "group" ->
          new PlanRow.GroupRow(
              map.text("dawn"),
              new GroupKey(
                  map.text("team"),
                  map.text("class"),
                  (int) map.count("length", -1, MAX_COUNT),
                  (int) map.count("size", -1, MAX_COUNT)),
              (int) map.count("seen", 0, MAX_COUNT),
              (int) map.count("promised", 0, MAX_COUNT),
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
              new Resources(map.amount("cpus"), map.amount("gpus"), map.amount("mem")),
              numbers(map, "slices"));
      case "reach" ->
          new PlanRow.CapacityRow(
              map.text("type"),
              map.text("zone"),
              map.bool("spot"),
              map.amount("most"),
              map.amount("hours"),
              map.amount("losses"));
      default -> throw new MalformedMessageException("unknown plan row type " + kind);
    };
  }

  private static WallTime time(FieldReader map, String name) throws MalformedMessageException {
    return new WallTime(map.count(name, Long.MIN_VALUE, Long.MAX_VALUE));
  }

  private static List<Long> numbers(FieldReader map, String name) throws MalformedMessageException {
    List<Long> numbers = new ArrayList<>();
    for (JsonNode item : map.list(name)) {
      if (!item.isIntegralNumber() || !item.canConvertToLong()) {
        throw new MalformedMessageException(
            "field " + name + " holds something other than integers");
      }
      numbers.add(item.longValue());
    }
    return numbers;
  }
}
