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
 * Image cache of one simulated machine. Tasks that need the same image share one fetch, which is
 * aborted when no task waits for it any more. Unused images are evicted in least recently used
 * order when the cache is full.
 */
final class SimImageCache {
  private final Timeline time;
  private final MachineType type;

  /** Sizes of the cached images in GB, in order of their last use. */
  private final LinkedHashMap<String, Double> cached = new LinkedHashMap<>(16, 0.75f, true);

  /** Tasks that wait for the fetch of an image, with their callbacks. */
  private final Map<String, Map<TaskId, Runnable>> pendingFetches = new HashMap<>();

  /** Tasks on this machine by image; an image with such tasks is not evicted. */
  private final Map<String, Set<TaskId>> pinnedBy = new HashMap<>();

  SimImageCache(Timeline time, MachineType type) {
    this.time = time;
    this.type = type;
  }

  /** Calls back when the task's image is cached, unless the task is released before. */
  void request(TaskId task, JobSpec spec, Runnable then) {
    String image = spec.image();
    pinnedBy.computeIfAbsent(image, i -> new HashSet<>()).add(task);
    if (cached.get(image) != null) {
      time.after(0, then);
      return;
    }
    Map<TaskId, Runnable> waiting = pendingFetches.get(image);
    if (waiting == null) {
      Map<TaskId, Runnable> started = new LinkedHashMap<>();
      pendingFetches.put(image, started);
      time.after(
          type.fetchTime(spec.imageGb()).millis(),
          () -> fetchCompleted(image, spec.imageGb(), started));
      waiting = started;
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

  /** Releases the image of a task that has ended; has no effect for an unknown task. */
  void release(TaskId task, JobSpec spec) {
    Set<TaskId> users = pinnedBy.getOrDefault(spec.image(), Set.of());
    if (users.remove(task) && users.isEmpty()) {
      pinnedBy.remove(spec.image());
      evictUnused();
    }
    Map<TaskId, Runnable> fetch = pendingFetches.get(spec.image());
    if (fetch != null && fetch.remove(task) != null && fetch.isEmpty()) {
      pendingFetches.remove(spec.image());
    }
  }

  private void evictUnused() {
    double cachedGb = cached.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Map.Entry<String, Double> oldest : new ArrayList<>(cached.entrySet())) {
      if (cachedGb > type.cacheGb() && !pinnedBy.containsKey(oldest.getKey())) {
        cached.remove(oldest.getKey());
        cachedGb -= oldest.getValue();
      }
    }
  }
}
