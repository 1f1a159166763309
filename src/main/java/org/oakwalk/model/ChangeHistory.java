package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.Revision;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.KeyChange;

/** Keeps the most recent changes of the simulated state service, at least the guaranteed number. */
final class ChangeHistory {
  /** Number of recent changes that are always kept. */
  private final int guaranteedChanges;

  private final List<KeyChange> changes = new ArrayList<>();

  /** Revision up to which changes may be missing. */
  private Revision truncatedThrough = Revision.NONE;

  ChangeHistory(int guaranteedChanges) {
    this.guaranteedChanges = guaranteedChanges;
  }

  void add(KeyChange change) {
    changes.add(change);
    if (changes.size() > 2 * guaranteedChanges) {
      List<KeyChange> dropped = changes.subList(0, changes.size() - guaranteedChanges);
      truncatedThrough = dropped.get(dropped.size() - 1).revision();
      dropped.clear();
    }
  }

  /** Whether changes after this revision may have been dropped. */
  boolean isTruncatedAfter(Revision after) {
    Revision oldest =
        changes.size() > guaranteedChanges
            ? changes.get(changes.size() - guaranteedChanges - 1).revision()
            : truncatedThrough;
    return after.compareTo(oldest) < 0;
  }

  /** Returns the changes that a watch has not delivered yet, in order. */
  List<KeyChange> changesFor(Request.Watch watch) {
    List<KeyChange> undelivered = new ArrayList<>();
    for (int i = changes.size() - 1; i >= 0 && isAfter(changes.get(i), watch.after()); i--) {
      if (changes.get(i).key().startsWith(watch.prefix())) {
        undelivered.add(0, changes.get(i));
      }
    }
    return undelivered;
  }

  private static boolean isAfter(KeyChange change, Revision revision) {
    return change.revision().compareTo(revision) > 0;
  }
}
