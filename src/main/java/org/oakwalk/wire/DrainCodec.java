package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.drain.DrainPlan;
import org.oakwalk.core.store.StoredValue;

/** Encodes and decodes stored drain plans and counts of granted stops. */
final class DrainCodec {
  private DrainCodec() {}

  static void encode(StoredValue.DrainRecord record, ObjectNode map) {
    DrainPlan plan = record.plan();
    map.put("name", plan.name());
    map.put("version", plan.version());
    map.put("status", plan.status().name());
    texts(map.putArray("zones"), plan.zones());
    texts(map.putArray("types"), plan.types());
    plan.spotFilter().ifPresent(spot -> map.put("spot", spot));
    texts(map.putArray("machines"), plan.machines());
    map.put("then", plan.mode().name());
    map.put("step", plan.concurrency());
    map.put("surge", plan.surge());
    map.put("pause_s", plan.selectionInterval().asSeconds());
    map.put("patience_s", plan.drainTimeout().asSeconds());
    map.put("replica_waits_s", plan.maxReplicaWait().asSeconds());
    map.put("work_waits_s", plan.maxWorkWait().asSeconds());
    map.put("newest", record.newestMachine().value());
    map.put("selected", record.selectedMachines());
  }

  private static void texts(ArrayNode list, Set<String> texts) {
    texts.forEach(list::add);
  }

  static StoredValue.DrainRecord decodeDrain(FieldReader map) throws MalformedMessageException {
    DrainPlan plan =
        new DrainPlan(
            map.shortText("name"),
            map.count("version"),
            enumValue(DrainPlan.Status.values(), map.text("status")),
            new LinkedHashSet<>(map.textList("zones")),
            new LinkedHashSet<>(map.textList("types")),
            map.has("spot") ? Optional.of(map.bool("spot")) : Optional.empty(),
            new LinkedHashSet<>(map.textList("machines")),
            enumValue(DrainPlan.DrainMode.values(), map.text("then")),
            map.amount("step"),
            (int) map.count("surge", 0, Integer.MAX_VALUE),
            map.seconds("pause_s"),
            map.seconds("patience_s"),
            map.seconds("replica_waits_s"),
            map.seconds("work_waits_s"));
    return new StoredValue.DrainRecord(
        plan, new MachineId(map.text("newest")), (int) map.count("selected", 0, Integer.MAX_VALUE));
  }

  private static <E extends Enum<E>> E enumValue(E[] values, String name)
      throws MalformedMessageException {
    return Arrays.stream(values)
        .filter(value -> value.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new MalformedMessageException("unknown value " + name));
  }

  static void encode(StoredValue.StopsRecord record, ObjectNode map) {
    ObjectNode budgets = map.putObject("budgets");
    record
        .byBudget()
        .forEach(
            (name, stops) -> {
              ObjectNode item = budgets.putObject(name);
              item.put("open", stops.notRestarted());
              ObjectNode times = item.putObject("times");
              stops
                  .grantedByInterval()
                  .forEach((time, count) -> times.put(Long.toString(time), count));
            });
  }

  static StoredValue.StopsRecord decodeStops(FieldReader map) throws MalformedMessageException {
    Map<String, StoredValue.StopCounts> byBudget = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : map.get("budgets").properties()) {
      FieldReader item = FieldReader.ofMap(entry.getValue());
      Map<Long, Integer> times = new TreeMap<>();
      FieldReader byTime = item.map("times");
      for (Map.Entry<String, JsonNode> time : item.get("times").properties()) {
        try {
          times.put(
              Long.parseLong(time.getKey()),
              (int) byTime.count(time.getKey(), 0, Integer.MAX_VALUE));
        } catch (NumberFormatException e) {
          throw new MalformedMessageException("field times has a key that is not a number");
        }
      }
      byBudget.put(
          entry.getKey(),
          new StoredValue.StopCounts((int) item.count("open", 0, Integer.MAX_VALUE), times));
    }
    return new StoredValue.StopsRecord(byBudget);
  }
}
