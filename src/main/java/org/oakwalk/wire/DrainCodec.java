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

/** The stored form of plans and of granted stops. */
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

  static StoredValue.DrainRecord drain(Fields map) throws BadMessage {
    DrainPlan plan =
        new DrainPlan(
            map.shortText("name"),
            map.count("version"),
            named(DrainPlan.Status.values(), map.text("status")),
            new LinkedHashSet<>(map.texts("zones")),
            new LinkedHashSet<>(map.texts("types")),
            map.has("spot") ? Optional.of(map.flag("spot")) : Optional.empty(),
            new LinkedHashSet<>(map.texts("machines")),
            named(DrainPlan.DrainMode.values(), map.text("then")),
            map.amount("step"),
            (int) map.count("surge", 0, Integer.MAX_VALUE),
            map.seconds("pause_s"),
            map.seconds("patience_s"),
            map.seconds("replica_waits_s"),
            map.seconds("work_waits_s"));
    return new StoredValue.DrainRecord(
        plan, new MachineId(map.text("newest")), (int) map.count("selected", 0, Integer.MAX_VALUE));
  }

  private static <E extends Enum<E>> E named(E[] values, String name) throws BadMessage {
    return Arrays.stream(values)
        .filter(value -> value.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new BadMessage("unknown word " + name));
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

  static StoredValue.StopsRecord stops(Fields map) throws BadMessage {
    Map<String, StoredValue.StopCounts> byBudget = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : map.get("budgets").properties()) {
      Fields item = Fields.of(entry.getValue());
      Map<Long, Integer> times = new TreeMap<>();
      Fields byTime = item.map("times");
      for (Map.Entry<String, JsonNode> time : item.get("times").properties()) {
        try {
          times.put(
              Long.parseLong(time.getKey()),
              (int) byTime.count(time.getKey(), 0, Integer.MAX_VALUE));
        } catch (NumberFormatException e) {
          throw new BadMessage("field times holds something other than numbers");
        }
      }
      byBudget.put(
          entry.getKey(),
          new StoredValue.StopCounts((int) item.count("open", 0, Integer.MAX_VALUE), times));
    }
    return new StoredValue.StopsRecord(byBudget);
  }
}
