package org.oakwalk.core.job;

import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.store.FaultyStore;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreKeys;

/** Specs and records of array jobs for tests. */
public final class ArrayJobs {
  private ArrayJobs() {}

  public static JobSpec spec(String id, int tasks) {
    return spec(id, tasks, TimeSpan.seconds(1));
  }

  public static JobSpec spec(String id, int tasks, TimeSpan estimatedRunTime) {
    return new JobSpec(
        new JobId(id),
        "array",
        "crew",
        JobSpec.Shape.ARRAY,
        Priority.NORMAL,
        tasks,
        Resources.ofTask(1, 0, 1),
        Set.of(),
        Optional.empty(),
        false,
        false,
        false,
        "img",
        0,
        estimatedRunTime,
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        Optional.empty());
  }

  /** Stores the record of an array job. */
  public static void storeRecord(FaultyStore store, String id, int tasks, JobRecord.Phase phase) {
    store.put(StoreKeys.job(new JobId(id)), new JobRecord(spec(id, tasks), phase, new WallTime(0)));
  }
}
