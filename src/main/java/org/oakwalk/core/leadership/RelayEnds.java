package org.oakwalk.core.leadership;

import java.util.List;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;

/** What a leader makes of followers that keep leases alive for it in a zone. */
public final class RelayEnds {
  private static final Span RETRY = Span.seconds(1);

  private final Outbox outbox;
  private final StoreView view;
  private final Guard guard;
  private final Token token;
  private final Span answers;
  private final Span lease;
  private boolean removing;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  public RelayEnds(
      Outbox outbox, StoreView view, Guard guard, Token token, Settings.Workers timing) {
    this.outbox = outbox;
    this.view = view;
    this.guard = guard;
    this.token = token;
    this.answers = timing.relayWindow().surelyPassed().plus(StoreView.MAX_LAG);
    this.lease = timing.lease().surelyPassed();
  }

  /**
   * The last moment up to now at which a follower may have renewed leases in the zone under this
   * leader's token, or {@code otherwise} if that is later. A zone without a name is one that is not
   * known, so it may be any.
   */
  public Moment lastRenewal(String zone, Moment otherwise, Moment now) {
    return zone.isEmpty()
        ? view.relays().stream()
            .map(relayed -> lastRenewal(relayed, now))
            .reduce(otherwise, RelayEnds::later)
        : view.relays(zone)
            .map(relayed -> later(lastRenewal(relayed, now), otherwise))
            .orElse(otherwise);
  }

  private Moment lastRenewal(StoreView.RelayAnnouncement relayed, Moment now) {
    if (!relayed.record().token().equals(token)) {
      return new Moment(Long.MIN_VALUE / 2);
    }
    Moment end = relayed.seenAt().plus(answers);
    return end.isAfter(now) ? now : end;
  }

  private static Moment later(Moment one, Moment other) {
    return one.isAfter(other) ? one : other;
  }

  /**
   * Removes announcements under older tokens, and those under which every lease has ended or was
   * renewed by the leader itself, so that a later cut may be announced again.
   */
  public void tick(Moment now) {
    if (removing || nextTry.isAfter(now)) {
      return;
    }
    for (StoreView.RelayAnnouncement relayed : view.relays()) {
      boolean older = relayed.record().token().compareTo(token) < 0;
      if (older || now.past(relayed.seenAt(), answers.plus(lease))) {
        remove(relayed, now);
        return;
      }
    }
  }

  private void remove(StoreView.RelayAnnouncement relayed, Moment now) {
    String key = StoreKeys.relay(relayed.record().zone());
    removing = true;
    nextTry = now.plus(RETRY);
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(key, relayed.revision())),
            List.of(new Change.Remove(key)),
            Request.Urgency.REST),
        answer -> removing = false);
  }
}
