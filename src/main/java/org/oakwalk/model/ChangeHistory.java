package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.Revision;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.KeyChange;

/** The last changes of the state service, as many as it keeps. */
final class ChangeHistory {
  private final int guaranteedChanges;
  private final List<KeyChange> changes = new ArrayList<>();

  /** Up to this revision changes may be missing. */
  private Revision truncatedThrough = Revision.NONE;

  ChangeHistory(int most) {
    this.guaranteedChanges = most;
  }

  void add(KeyChange news) {
    changes.add(news);
    if (changes.size() > 2 * guaranteedChanges) {
      List<KeyChange> gone = changes.subList(0, changes.size() - guaranteedChanges);
      truncatedThrough = gone.get(gone.size() - 1).revision();
      gone.clear();
    }
  }

  /** Whether the service may have forgotten changes after this revision. */
  boolean isTruncatedAfter(Revision after) {
    Revision oldest =
        changes.size() > guaranteedChanges
            ? changes.get(changes.size() - guaranteedChanges - 1).revision()
            : truncatedThrough;
    return after.compareTo(oldest) < 0;
  }

  /** What a watch has not told yet. */
  List<KeyChange> changesFor(Request.Watch watch) {
    List<KeyChange> news = new ArrayList<>();
    for (int i = changes.size() - 1; i >= 0 && isAfter(changes.get(i), watch.after()); i--) {
      if (changes.get(i).key().startsWith(watch.prefix())) {
        news.add(0, changes.get(i));
      }
    }
    return news;
  }

  private static boolean isAfter(KeyChange news, Revision than) {
    return news.revision().compareTo(than) > 0;
  }
}
