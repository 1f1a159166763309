package org.oakwalk.core.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Job;

/**
 * Finds machines for the tasks of one job, one task after the other. The values on which a
 * machine's distance depends are cached and recomputed only for the machine that has just received
 * a task. Without the cache, placing an array of thousands of tasks on hundreds of machines would
 * evaluate machines a million times and delay reports and lease renewals.
 */
final class MachineSearch {
  private final MachineDistance distances;
  private final Job job;
  private final TimeSpan run;
  private final MonotonicTime now;
  private final List<Machine> machines;
  private final double[] cpu;
  private final double[] memory;
  private final double[] gpu;
  private final double[] otherTerms;
  private final boolean[] fits;
  private int lastFound = -1;

  /**
   * Prepares a search.
   *
   * @param machines the machines on which the job may run
   * @param run the expected run time of a task
   */
  MachineSearch(
      MachineDistance distances, Job job, List<Machine> machines, TimeSpan run, MonotonicTime now) {
    this.distances = distances;
    this.job = job;
    this.run = run;
    this.now = now;
    this.machines = machines;
    int count = machines.size();
    cpu = new double[count];
    memory = new double[count];
    gpu = new double[count];
    otherTerms = new double[count];
    fits = new boolean[count];
    for (int i = 0; i < count; i++) {
      evaluate(i);
    }
  }

  private void evaluate(int i) {
    Machine machine = machines.get(i);
    cpu[i] = MachineDistance.cpuUse(machine);
    memory[i] = MachineDistance.memoryUse(machine);
    gpu[i] = MachineDistance.gpuUse(machine);
    fits[i] = distances.fits(job.spec(), machine) && mayTakeAnother(machine);
    otherTerms[i] = fits[i] ? distances.otherTerms(job, machine, run, now) : 0;
  }

  /** Whether a machine takes one more task, which one on probation does not after its probe. */
  private boolean mayTakeAnother(Machine machine) {
    return machine.schedulingMode() != SchedulingMode.PROBATION || machine.admitsProbe(job);
  }

  /**
   * Returns the machine with room that is nearest to the ideal one, see {@link MachineDistance}, or
   * null if there is none. Of equally distant machines the first is returned.
   */
  Machine nearest(TaskId task) {
    double leastCpu = least(cpu);
    double leastMemory = least(memory);
    double leastGpu = least(gpu);
    lastFound = -1;
    double bestDistance = Double.MAX_VALUE;
    for (int i = 0; i < fits.length; i++) {
      if (fits[i]) {
        double distance =
            square(cpu[i] - leastCpu)
                + square(memory[i] - leastMemory)
                + square(gpu[i] - leastGpu)
                + otherTerms[i];
        // A worker refuses a task while it still reports an older attempt of it.
        if (distance < bestDistance && !machines.get(i).refusesNewAttempt(task)) {
          bestDistance = distance;
          lastFound = i;
        }
      }
    }
    return lastFound < 0 ? null : machines.get(lastFound);
  }

  /** Whether any of the machines has room for a task. */
  boolean anyFits() {
    for (boolean fit : fits) {
      if (fit) {
        return true;
      }
    }
    return false;
  }

  /** Why the machines with room refuse a task, by machine; for the log. */
  Map<MachineId, String> blockReasons(int index) {
    Map<MachineId, String> reasons = new LinkedHashMap<>();
    for (int i = 0; i < fits.length; i++) {
      if (fits[i]) {
        reasons.put(machines.get(i).id(), machines.get(i).startStatus(new TaskId(job.id(), index)));
      }
    }
    return reasons;
  }

  /** To be called when a task was placed on the machine that was found last. */
  void placedOnLastFound() {
    evaluate(lastFound);
  }

  private static double least(double[] values) {
    double least = Double.MAX_VALUE;
    for (double value : values) {
      least = Math.min(least, value);
    }
    return least;
  }

  private static double square(double value) {
    return value * value;
  }
}
