package org.oakwalk.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** A job's description, as users send it and as it is stored. */
final class JobCodec {
  static final String ID = "ref";
  private static final int MOST_TYPES_TEXT = 1500;
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

  static JobId id(Fields fields) throws BadMessage {
    String id = fields.text(ID);
    if (!JobId.isWellFormed(id)) {
      throw new BadMessage("field " + ID + " is malformed");
    }
    return new JobId(id);
  }

  static JobSpec decode(Fields fields) throws BadMessage {
    return new JobSpec(
        id(fields),
        fields.shortText("jobclass"),
        fields.shortText("crew"),
        choice(fields, "shape", SHAPES),
        choice(fields, "urgency", PRIORITIES),
        (int) fields.count("pieces", 1, JobSpec.MAX_TASKS),
        new Resources(
            fields.amount("vcpus"), fields.amount("accelerators"), fields.amount("memory_gb")),
        types(fields),
        fields.optionalText("region"),
        fields.flag("same_place"),
        fields.flag("spread"),
        fields.flag("leftovers"),
        fields.shortText("bundle"),
        fields.amount("size_gb"),
        fields.seconds("guess_s"),
        fields.seconds("snapshot_every_s"),
        fields.seconds("snapshot_s"),
        due(fields));
  }

  private static Optional<Span> due(Fields fields) throws BadMessage {
    return fields.optionalSeconds("due_s");
  }

  private static Set<String> types(Fields fields) throws BadMessage {
    if (!fields.has("flavors")) {
      return Set.of();
    }
    Set<String> types = new TreeSet<>(fields.texts("flavors"));
    if (types.isEmpty() || types.stream().mapToInt(String::length).sum() > MOST_TYPES_TEXT) {
      throw new BadMessage("field flavors is empty or too long");
    }
    return types;
  }

  private static <T> T choice(Fields fields, String name, Map<String, T> choices)
      throws BadMessage {
    T value = choices.get(fields.text(name));
    if (value == null) {
      throw new BadMessage("field " + name + " has an unknown value");
    }
    return value;
  }

  static void encode(JobSpec spec, ObjectNode into) {
    into.put(ID, spec.id().value());
    into.put("jobclass", spec.jobClass());
    into.put("crew", spec.team());
    into.put("shape", name(SHAPES, spec.shape()));
    into.put("urgency", name(PRIORITIES, spec.priority()));
    into.put("pieces", spec.tasks());
    into.put("vcpus", spec.resources().cpus());
    into.put("accelerators", spec.resources().gpus());
    into.put("memory_gb", spec.resources().memoryGb());
    if (!spec.machineTypes().isEmpty()) {
      ArrayNode types = into.putArray("flavors");
      spec.machineTypes().forEach(types::add);
    }
    spec.zone().ifPresent(zone -> into.put("region", zone));
    into.put("same_place", spec.oneZone());
    into.put("spread", spec.spread());
    into.put("leftovers", spec.spotAllowed());
    into.put("bundle", spec.image());
    into.put("size_gb", spec.imageGb());
    into.put("guess_s", spec.estimatedRunTime().asSeconds());
    into.put("snapshot_every_s", spec.checkpointInterval().asSeconds());
    into.put("snapshot_s", spec.checkpointDuration().asSeconds());
    spec.deadline().ifPresent(due -> into.put("due_s", due.asSeconds()));
  }

  private static <T> String name(Map<String, T> choices, T value) {
    return choices.entrySet().stream()
        .filter(entry -> entry.getValue() == value)
        .findFirst()
        .orElseThrow()
        .getKey();
  }
}
