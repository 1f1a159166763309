package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.oakwalk.core.headroom.HeadroomRow;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** Encodes and decodes stored rows of headroom, which is capacity reserved for replicas. */
final class HeadroomCodec implements SharedRecordCodec.RowCodec<HeadroomRow> {
  @Override
  public String typeTag() {
    return "room";
  }

  @Override
  public Class<HeadroomRow> rowClass() {
    return HeadroomRow.class;
  }

  @Override
  public void encode(HeadroomRow row, ObjectNode map) {
    HeadroomRow.HeadroomKey key = row.key();
    map.put("name", key.name());
    map.put("team", key.team());
    map.put("class", key.jobClass());
    map.put("cpus", key.resources().cpus());
    map.put("gpus", key.resources().gpus());
    map.put("mem", key.resources().memoryGb());
    key.zone().ifPresent(zone -> map.put("zone", zone));
    map.put("priority", row.priority().name());
    map.put("image", row.image());
    map.put("gb", row.imageGb());
    if (!row.machineTypes().isEmpty()) {
      ArrayNode types = map.putArray("types");
      row.machineTypes().forEach(types::add);
    }
    map.put("spot", row.spotAllowed());
    map.put("peak", row.peakReplicas());
    ObjectNode places = map.putObject("places");
    row.slotsByZone().forEach(places::put);
  }

  @Override
  public HeadroomRow decode(FieldReader map) throws MalformedMessageException {
    HeadroomRow.HeadroomKey key =
        new HeadroomRow.HeadroomKey(
            map.text("name"),
            map.text("team"),
            map.text("class"),
            Resources.ofTask(map.amount("cpus"), map.amount("gpus"), map.amount("mem")),
            map.has("zone") ? Optional.of(map.text("zone")) : Optional.empty());
    Map<String, Integer> slots = new TreeMap<>();
    FieldReader byZone = map.map("places");
    for (Map.Entry<String, JsonNode> entry : map.get("places").properties()) {
      slots.put(entry.getKey(), (int) byZone.count(entry.getKey(), 0, Integer.MAX_VALUE));
    }
    return new HeadroomRow(
        key,
        priority(map.text("priority")),
        map.text("image"),
        map.amount("gb"),
        new TreeSet<>(map.has("types") ? map.textList("types") : java.util.List.of()),
        map.bool("spot"),
        (int) map.count("peak", 0, Integer.MAX_VALUE),
        slots);
  }

  private static Priority priority(String name) throws MalformedMessageException {
    for (Priority priority : Priority.values()) {
      if (priority.name().equals(name)) {
        return priority;
      }
    }
    throw new MalformedMessageException("unknown priority " + name);
  }
}
