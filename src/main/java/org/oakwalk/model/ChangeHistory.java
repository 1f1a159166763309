package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.Revision;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.News;

/** The last changes of the state service, as many as it keeps. */
final class ChangeHistory {
  private final int most;
  private final List<News> kept = new ArrayList<>();

  /** Up to this revision changes may be missing. */
  private Revision cut = Revision.NONE;

  ChangeHistory(int most) {
    this.most = most;
  }

  void add(News news) {
    kept.add(news);
    if (kept.size() > 2 * most) {
      List<News> gone = kept.subList(0, kept.size() - most);
      cut = gone.get(gone.size() - 1).stamp();
      gone.clear();
    }
  }

  /** Whether the service may have forgotten changes after this revision. */
  boolean tooOld(Revision after) {
    Revision oldest = kept.size() > most ? kept.get(kept.size() - most - 1).stamp() : cut;
    return after.compareTo(oldest) < 0;
  }

  /** What a watch has not told yet. */
  List<News> since(Request.Watch watch) {
    List<News> news = new ArrayList<>();
    for (int i = kept.size() - 1; i >= 0 && later(kept.get(i), watch.after()); i--) {
      if (kept.get(i).key().startsWith(watch.prefix())) {
        news.add(0, kept.get(i));
      }
    }
    return news;
  }

  private static boolean later(News news, Revision than) {
    return news.stamp().compareTo(than) > 0;
  }
}
