package org.oakwalk.core.placement;

import java.util.List;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;

/**
 * Finds machines for the tasks of one job, one after the other. What the distance needs of each
 * machine is worked out once, and again only for the one that has just been given a task: an array
 * of thousands on hundreds of machines would else look at everything a million times, and hold up
 * reports and renewals meanwhile.
 */
final class HostSearch {
  private final IdealHost hosts;
  private final Job job;
  private final Span run;
  private final Moment now;
  private final List<Machine> machines;
  private final double[] cpu;
  private final double[] memory;
  private final double[] gpu;
  private final double[] others;
  private final boolean[] fits;
  private int found = -1;

  /**
   * A search among these machines.
   *
   * @param run how long a task should run
   */
  HostSearch(IdealHost hosts, Job job, List<Machine> machines, Span run, Moment now) {
    this.hosts = hosts;
    this.job = job;
    this.run = run;
    this.now = now;
    this.machines = machines;
    int count = machines.size();
    cpu = new double[count];
    memory = new double[count];
    gpu = new double[count];
    others = new double[count];
    fits = new boolean[count];
    for (int i = 0; i < count; i++) {
      look(i);
    }
  }

  private void look(int i) {
    Machine machine = machines.get(i);
    cpu[i] = IdealHost.cpuUse(machine);
    memory[i] = IdealHost.memoryUse(machine);
    gpu[i] = IdealHost.gpuUse(machine);
    fits[i] = hosts.fits(job.spec(), machine);
    others[i] = fits[i] ? hosts.otherTerms(job, machine, run, now) : 0;
  }

  /**
   * The machine with room that is nearest to the ideal one, which has the lowest use of each
   * resource seen on any; null if there is none. The first of equals is taken.
   */
  Machine nearest(TaskId task) {
    double leastCpu = least(cpu);
    double leastMemory = least(memory);
    double leastGpu = least(gpu);
    found = -1;
    double bestDistance = Double.MAX_VALUE;
    for (int i = 0; i < fits.length; i++) {
      if (fits[i]) {
        double distance =
            square(cpu[i] - leastCpu)
                + square(memory[i] - leastMemory)
                + square(gpu[i] - leastGpu)
                + others[i];
        // A run would be refused while a machine still reports an older attempt.
        if (distance < bestDistance && !machines.get(i).refusesNewAttempt(task)) {
          bestDistance = distance;
          found = i;
        }
      }
    }
    return found < 0 ? null : machines.get(found);
  }

  /** Whether a task has room anywhere. */
  boolean anyFits() {
    for (boolean fit : fits) {
      if (fit) {
        return true;
      }
    }
    return false;
  }

  /** A task was put on the machine that was found last. */
  void taken() {
    look(found);
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
