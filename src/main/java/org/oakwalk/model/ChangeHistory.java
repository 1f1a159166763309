package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.Revision;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.KeyChange;

/** The last changes of the state service, as many as it keeps. */
final class ChangeHistory {
  private final int most;
  private final List<KeyChange> kept = new ArrayList<>();

  /** Up to this revision changes may be missing. */
  private Revision cut = Revision.NONE;

  ChangeHistory(int most) {
    this.most = most;
  }

  void add(KeyChange news) {
    kept.add(news);
    if (kept.size() > 2 * most) {
      List<KeyChange> gone = kept.subList(0, kept.size() - most);
      cut = gone.get(gone.size() - 1).revision();
      gone.clear();
    }
  }

  /** Whether the service may have forgotten changes after this revision. */
  boolean tooOld(Revision after) {
    Revision oldest = kept.size() > most ? kept.get(kept.size() - most - 1).revision() : cut;
    return after.compareTo(oldest) < 0;
  }

  /** What a watch has not told yet. */
  List<KeyChange> since(Request.Watch watch) {
    List<KeyChange> news = new ArrayList<>();
    for (int i = kept.size() - 1; i >= 0 && later(kept.get(i), watch.after()); i--) {
      if (kept.get(i).key().startsWith(watch.prefix())) {
        news.add(0, kept.get(i));
      }
    }
    return news;
  }

  private static boolean later(KeyChange news, Revision than) {
    return news.revision().compareTo(than) > 0;
  }
}
