package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;

/**
 * The images of one machine. Each is fetched once for all tasks that want it; the fetch is given up
 * when no task waits for it any more; those used last are kept, as far as the cache holds them.
 */
final class Images {
  private final Timeline time;
  private final MachineType type;

  /** Sizes in GB of those that are here, the one used last at the end. */
  private final LinkedHashMap<String, Double> here = new LinkedHashMap<>(16, 0.75f, true);

  /** Who waits for an image that is on its way, and what is to be done then. */
  private final Map<String, Map<TaskId, Runnable>> fetches = new HashMap<>();

  /** Whose images can't be evicted, since they are on the machine. */
  private final Map<String, Set<TaskId>> users = new HashMap<>();

  Images(Timeline time, MachineType type) {
    this.time = time;
    this.type = type;
  }

  /** Calls back when the task's image is here, unless the task is dropped before. */
  void want(TaskId task, JobSpec spec, Runnable then) {
    String image = spec.image();
    users.computeIfAbsent(image, i -> new HashSet<>()).add(task);
    if (here.get(image) != null) {
      time.after(0, then);
      return;
    }
    Map<TaskId, Runnable> waiting = fetches.get(image);
    if (waiting == null) {
      Map<TaskId, Runnable> begun = new LinkedHashMap<>();
      fetches.put(image, begun);
      time.after(
          type.fetchTime(spec.imageGb()).millis(), () -> arrived(image, spec.imageGb(), begun));
      waiting = begun;
    }
    waiting.put(task, then);
  }

  private void arrived(String image, double gb, Map<TaskId, Runnable> fetch) {
    if (fetches.get(image) == fetch) {
      fetches.remove(image);
      here.put(image, gb);
      makeRoom();
      List.copyOf(fetch.values()).forEach(Runnable::run);
    }
  }

  /** The task has ended or was never there. */
  void drop(TaskId task, JobSpec spec) {
    Set<TaskId> of = users.getOrDefault(spec.image(), Set.of());
    if (of.remove(task) && of.isEmpty()) {
      users.remove(spec.image());
      makeRoom();
    }
    Map<TaskId, Runnable> fetch = fetches.get(spec.image());
    if (fetch != null && fetch.remove(task) != null && fetch.isEmpty()) {
      fetches.remove(spec.image());
    }
  }

  private void makeRoom() {
    double held = here.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Map.Entry<String, Double> oldest : new ArrayList<>(here.entrySet())) {
      if (held > type.cacheGb() && !users.containsKey(oldest.getKey())) {
        here.remove(oldest.getKey());
        held -= oldest.getValue();
      }
    }
  }
}
