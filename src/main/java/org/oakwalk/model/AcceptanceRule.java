package org.oakwalk.model;

import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;

/**
 * Decides whether a job may be accepted, by the rules of the protocol alone: all fields are
 * present, the team is known, a task fits a machine type that the job allows, and the team limit
 * allows one task of an array, or all tasks of a gang or service. For a job that is spread over
 * zones, the allowed zones also have to hold all of these tasks, with the share that one zone may
 * have.
 */
final class AcceptanceRule {
  private static final double TOLERANCE = 1e-6;

  private final World world;

  AcceptanceRule(World world) {
    this.world = world;
  }

  /** Returns the reason for which the job may not be accepted; empty if it may. */
  Optional<String> rejectionReason(JobId job) {
    JobSpec spec = world.specs.get(job);
    if (spec == null) {
      return Optional.of("lacks a field");
    }
    Settings.Team team = world.settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of("belongs to an unknown team");
    }
    if (world.cloud.types.values().stream().noneMatch(type -> fits(spec, type))) {
      return Optional.of("fits none of the machine types that it allows");
    }
    int atOnce = spec.shape() == JobSpec.Shape.ARRAY ? 1 : spec.tasks();
    boolean within =
        isWithinLimit(team.cpusMax(), spec.resources().cpus() * atOnce)
            && isWithinLimit(team.gpusMax(), spec.resources().gpus() * atOnce);
    if (!within) {
      return Optional.of("exceeds the limit of its team");
    }
    return spec.spread() && atOnce > 1 && allowedZoneCount(spec) * ((atOnce + 1) / 2) < atOnce
        ? Optional.of("has to be spread, but may be in one zone only")
        : Optional.empty();
  }

  private static boolean fits(JobSpec spec, MachineType type) {
    return spec.resources().fitsInto(type.resources())
        && type.zones().stream().anyMatch(zone -> spec.allows(type.name(), zone, false));
  }

  /** Returns the number of zones in which tasks of the job may be at once. */
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
