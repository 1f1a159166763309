import java.util.Map;

/** A job as its user submits it, with what the stand-ins need to know of it. */
final class Job {
  final String ref;
  final Map<String, Object> body;
  final int pieces;
  final double vcpus;
  final double memory;
  final double runSeconds;
  final boolean daemon;
  final String crew;

  Job(String ref, String jobclass, String crew, boolean daemon, String urgency, int pieces,
      double vcpus, double memory, double runSeconds) {
    this.ref = ref;
    this.pieces = pieces;
    this.vcpus = vcpus;
    this.memory = memory;
    this.runSeconds = runSeconds;
    this.daemon = daemon;
    this.crew = crew;
    this.body = Pack.of(
        "ref", ref, "jobclass", jobclass, "crew", crew, "shape", daemon ? "daemon" : "sweep",
        "urgency", urgency, "pieces", pieces, "vcpus", vcpus, "accelerators", 0.0,
        "memory_gb", memory, "bundle", "img-01", "size_gb", 0.1, "flavors", null, "region", null,
        "same_place", false, "spread", false, "leftovers", false, "guess_s", daemon ? 0.0 : runSeconds,
        "snapshot_every_s", 0.0, "snapshot_s", 0.0, "due_s", null);
  }

  /** The job with another image. */
  Job image(String bundle, double gigabytes) {
    body.put("bundle", bundle);
    body.put("size_gb", gigabytes);
    return this;
  }

  String bundle() {
    return (String) body.get("bundle");
  }

  double gigabytes() {
    return ((Number) body.get("size_gb")).doubleValue();
  }
}
