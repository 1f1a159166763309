package org.oakwalk.model;

import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;

/**
 * Whether a job may be accepted, after the protocol's page alone: all fields are there, the team is
 * known, a task fits a machine type that the job allows, and the team's limit allows one task of an
 * array, and all tasks of what has to run at once; these also have room in the zones by the share
 * of them that one zone may hold.
 */
final class AcceptanceRule {
  private static final double TOLERANCE = 1e-6;

  private final World world;

  AcceptanceRule(World world) {
    this.world = world;
  }

  /** Why the job may not be accepted; empty if it may. */
  Optional<String> rejectionReason(JobId job) {
    JobSpec spec = world.specs.get(job);
    if (spec == null) {
      return Optional.of("lacks a field");
    }
    Settings.Team team = world.settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of("is of an unknown team");
    }
    if (world.cloud.types.values().stream().noneMatch(type -> fits(spec, type))) {
      return Optional.of("fits no machine type that it allows");
    }
    int atOnce = spec.shape() == JobSpec.Shape.ARRAY ? 1 : spec.tasks();
    boolean within =
        isWithinLimit(team.cpusMax(), spec.resources().cpus() * atOnce)
            && isWithinLimit(team.gpusMax(), spec.resources().gpus() * atOnce);
    if (!within) {
      return Optional.of("needs more than its team's limit");
    }
    return spec.spread() && atOnce > 1 && allowedZoneCount(spec) * ((atOnce + 1) / 2) < atOnce
        ? Optional.of("has to be spread and may be in one zone only")
        : Optional.empty();
  }

  private static boolean fits(JobSpec spec, MachineType type) {
    return spec.resources().fitsInto(type.room())
        && type.zones().stream().anyMatch(zone -> spec.allows(type.name(), zone, false));
  }

  /** How many zones its tasks may be in at once. */
  private int allowedZoneCount(JobSpec spec) {
    long zones =
        world.settings.zones().stream()
            .filter(zone -> spec.zone().isEmpty() || spec.zone().get().equals(zone))
            .filter(
                zone ->
                    world.cloud.types.values().stream()
                        .anyMatch(type -> fits(spec, type) && type.zones().contains(zone)))
            .count();
    return spec.oneZone() ? 1 : (int) zones;
  }

  private static boolean isWithinLimit(double limit, double amount) {
    return limit <= 0 || amount <= limit + TOLERANCE;
  }
}
