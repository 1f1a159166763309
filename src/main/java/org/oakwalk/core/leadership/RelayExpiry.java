package org.oakwalk.core.leadership;

import java.util.List;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;

/**
 * The leader's view of followers that renew worker leases on its behalf: until when they may do so
 * in each zone, and when their announcements can be removed from the store.
 */
public final class RelayExpiry {
  private static final TimeSpan RETRY_DELAY = TimeSpan.seconds(1);

  private final Outbox outbox;
  private final StoreView view;
  private final Guard guard;
  private final Token token;
  private final TimeSpan relayPeriod;
  private final TimeSpan leaseDuration;
  private boolean removalPending;
  private MonotonicTime nextAttempt = new MonotonicTime(Long.MIN_VALUE / 2);

  public RelayExpiry(
      Outbox outbox, StoreView view, Guard guard, Token token, Settings.WorkerTiming timing) {
    this.outbox = outbox;
    this.view = view;
    this.guard = guard;
    this.token = token;
    this.relayPeriod = timing.relayWindow().plusClockDrift().plus(StoreView.MAX_LAG);
    this.leaseDuration = timing.leaseDuration().plusClockDrift();
  }

  /**
   * The latest time up to now at which a follower may have renewed leases in the zone under this
   * leader's token, or {@code fallback} if that is later. An empty zone name stands for an unknown
   * zone, so all zones count.
   */
  public MonotonicTime lastRenewal(String zone, MonotonicTime fallback, MonotonicTime now) {
    return zone.isEmpty()
        ? view.relays().stream()
            .map(announcement -> lastRenewal(announcement, now))
            .reduce(fallback, RelayExpiry::later)
        : view.relays(zone)
            .map(announcement -> later(lastRenewal(announcement, now), fallback))
            .orElse(fallback);
  }

  private MonotonicTime lastRenewal(StoreView.RelayAnnouncement announcement, MonotonicTime now) {
    if (!announcement.record().token().equals(token)) {
      return new MonotonicTime(Long.MIN_VALUE / 2);
    }
    MonotonicTime end = announcement.seenAt().plus(relayPeriod);
    return end.isAfter(now) ? now : end;
  }

  private static MonotonicTime later(MonotonicTime one, MonotonicTime other) {
    return one.isAfter(other) ? one : other;
  }

  /**
   * Removes announcements under older tokens, and those under which every lease has expired or has
   * been renewed by the leader itself, so that a later partition can be announced again.
   */
  public void tick(MonotonicTime now) {
    if (removalPending || nextAttempt.isAfter(now)) {
      return;
    }
    for (StoreView.RelayAnnouncement announcement : view.relays()) {
      boolean hasOlderToken = announcement.record().token().compareTo(token) < 0;
      if (hasOlderToken || now.isPast(announcement.seenAt(), relayPeriod.plus(leaseDuration))) {
        remove(announcement, now);
        return;
      }
    }
  }

  private void remove(StoreView.RelayAnnouncement announcement, MonotonicTime now) {
    String key = StoreKeys.relay(announcement.record().zone());
    removalPending = true;
    nextAttempt = now.plus(RETRY_DELAY);
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(key, announcement.revision())),
            List.of(new Change.Remove(key)),
            Request.Urgency.ROUTINE),
        answer -> removalPending = false);
  }
}
