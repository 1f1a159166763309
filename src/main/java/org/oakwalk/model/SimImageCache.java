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
final class SimImageCache {
  private final Timeline time;
  private final MachineType type;

  /** Sizes in GB of those that are here, the one used last at the end. */
  private final LinkedHashMap<String, Double> cached = new LinkedHashMap<>(16, 0.75f, true);

  /** Who waits for an image that is on its way, and what is to be done then. */
  private final Map<String, Map<TaskId, Runnable>> pendingFetches = new HashMap<>();

  /** Whose images can't be evicted, since they are on the machine. */
  private final Map<String, Set<TaskId>> pinnedBy = new HashMap<>();

  SimImageCache(Timeline time, MachineType type) {
    this.time = time;
    this.type = type;
  }

  /** Calls back when the task's image is here, unless the task is dropped before. */
  void request(TaskId task, JobSpec spec, Runnable then) {
    String image = spec.image();
    pinnedBy.computeIfAbsent(image, i -> new HashSet<>()).add(task);
    if (cached.get(image) != null) {
      time.after(0, then);
      return;
    }
    Map<TaskId, Runnable> waiting = pendingFetches.get(image);
    if (waiting == null) {
      Map<TaskId, Runnable> begun = new LinkedHashMap<>();
      pendingFetches.put(image, begun);
      time.after(
          type.fetchTime(spec.imageGb()).millis(),
          () -> fetchCompleted(image, spec.imageGb(), begun));
      waiting = begun;
    }
    waiting.put(task, then);
  }

  private void fetchCompleted(String image, double gb, Map<TaskId, Runnable> fetch) {
    if (pendingFetches.get(image) == fetch) {
      pendingFetches.remove(image);
      cached.put(image, gb);
      evictUnused();
      List.copyOf(fetch.values()).forEach(Runnable::run);
    }
  }

  /** The task has ended or was never there. */
  void release(TaskId task, JobSpec spec) {
    Set<TaskId> of = pinnedBy.getOrDefault(spec.image(), Set.of());
    if (of.remove(task) && of.isEmpty()) {
      pinnedBy.remove(spec.image());
      evictUnused();
    }
    Map<TaskId, Runnable> fetch = pendingFetches.get(spec.image());
    if (fetch != null && fetch.remove(task) != null && fetch.isEmpty()) {
      pendingFetches.remove(spec.image());
    }
  }

  private void evictUnused() {
    double held = cached.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Map.Entry<String, Double> oldest : new ArrayList<>(cached.entrySet())) {
      if (held > type.cacheGb() && !pinnedBy.containsKey(oldest.getKey())) {
        cached.remove(oldest.getKey());
        held -= oldest.getValue();
      }
    }
  }
}
