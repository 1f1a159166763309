package org.oakwalk.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** Encodes and decodes job specifications, in submissions and in stored records. */
final class JobCodec {
  static final String ID_FIELD = "ref";
  private static final int MAX_TYPES_CHARS = 1500;
  private static final Map<String, JobSpec.Shape> SHAPES =
      Map.of(
          "sweep", JobSpec.Shape.ARRAY,
          "gang", JobSpec.Shape.GANG,
          "daemon", JobSpec.Shape.SERVICE);
  private static final Map<String, Priority> PRIORITIES =
      Map.of(
          "production", Priority.PRODUCTION,
          "high", Priority.HIGH,
          "standard", Priority.NORMAL,
          "best_effort", Priority.LOW);

  private JobCodec() {}

  static JobId id(FieldReader fields) throws MalformedMessageException {
    String id = fields.text(ID_FIELD);
    if (!JobId.isWellFormed(id)) {
      throw new MalformedMessageException("field " + ID_FIELD + " is malformed");
    }
    return new JobId(id);
  }

  static JobSpec decode(FieldReader fields) throws MalformedMessageException {
    return new JobSpec(
        id(fields),
        fields.shortText("jobclass"),
        fields.shortText("crew"),
        choice(fields, "shape", SHAPES),
        choice(fields, "urgency", PRIORITIES),
        (int) fields.count("pieces", 1, JobSpec.MAX_TASKS),
        Resources.ofTask(
            fields.amount("vcpus"), fields.amount("accelerators"), fields.amount("memory_gb")),
        types(fields),
        fields.optionalText("region"),
        fields.bool("same_place"),
        fields.bool("spread"),
        fields.bool("leftovers"),
        fields.shortText("bundle"),
        fields.amount("size_gb"),
        fields.seconds("guess_s"),
        fields.seconds("snapshot_every_s"),
        fields.seconds("snapshot_s"),
        due(fields));
  }

  private static Optional<TimeSpan> due(FieldReader fields) throws MalformedMessageException {
    return fields.optionalSeconds("due_s");
  }

  private static Set<String> types(FieldReader fields) throws MalformedMessageException {
    if (!fields.has("flavors")) {
      return Set.of();
    }
    Set<String> types = new TreeSet<>(fields.textList("flavors"));
    if (types.isEmpty() || types.stream().mapToInt(String::length).sum() > MAX_TYPES_CHARS) {
      throw new MalformedMessageException("field flavors is empty or too long");
    }
    return types;
  }

  private static <T> T choice(FieldReader fields, String name, Map<String, T> choices)
      throws MalformedMessageException {
    T value = choices.get(fields.text(name));
    if (value == null) {
      throw new MalformedMessageException("field " + name + " has an unknown value");
    }
    return value;
  }

  static void encode(JobSpec spec, ObjectNode map) {
    map.put(ID_FIELD, spec.id().value());
    map.put("jobclass", spec.jobClass());
    map.put("crew", spec.team());
    map.put("shape", name(SHAPES, spec.shape()));
    map.put("urgency", name(PRIORITIES, spec.priority()));
    map.put("pieces", spec.tasks());
    map.put("vcpus", spec.resources().cpus());
    map.put("accelerators", spec.resources().gpus());
    map.put("memory_gb", spec.resources().memoryGb());
    if (!spec.machineTypes().isEmpty()) {
      ArrayNode types = map.putArray("flavors");
      spec.machineTypes().forEach(types::add);
    }
    spec.zone().ifPresent(zone -> map.put("region", zone));
    map.put("same_place", spec.oneZone());
    map.put("spread", spec.spread());
    map.put("leftovers", spec.spotAllowed());
    map.put("bundle", spec.image());
    map.put("size_gb", spec.imageGb());
    map.put("guess_s", spec.estimatedRunTime().asSeconds());
    map.put("snapshot_every_s", spec.checkpointInterval().asSeconds());
    map.put("snapshot_s", spec.checkpointDuration().asSeconds());
    spec.deadline().ifPresent(due -> map.put("due_s", due.asSeconds()));
  }

  private static <T> String name(Map<String, T> choices, T value) {
    return choices.entrySet().stream()
        .filter(entry -> entry.getValue() == value)
        .findFirst()
        .orElseThrow()
        .getKey();
  }
}
