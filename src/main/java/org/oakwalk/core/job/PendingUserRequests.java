package org.oakwalk.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oakwalk.core.ExchangeId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.UserRequest;

/**
 * What users have asked and not been answered yet. Reads, writes, their waits for the rate and the
 * way through another controller each have bounds of their own, which add up to more than a user
 * waits. So whoever is not answered by then is refused, in time to hear of it and ask again, and
 * nothing is kept for those who have gone.
 */
public final class PendingUserRequests {
  /** Users wait 2 s for the answer to a poll, and 5 s for others; the way takes its part. */
  private static final Span QUERY_TIMEOUT = Span.millis(1_700);

  private static final Span CHANGE_TIMEOUT = Span.millis(4_500);

  private record PendingRequest(ExchangeId exchange, Moment deadline) {}

  private final Deque<PendingRequest> queries = new ArrayDeque<>();
  private final Deque<PendingRequest> changes = new ArrayDeque<>();
  private final Set<ExchangeId> unanswered = new HashSet<>();

  /** A user asks. */
  public void add(ExchangeId exchange, UserRequest request, Moment now) {
    unanswered.add(exchange);
    if (request instanceof UserRequest.Query) {
      queries.add(new PendingRequest(exchange, now.plus(QUERY_TIMEOUT)));
    } else {
      changes.add(new PendingRequest(exchange, now.plus(CHANGE_TIMEOUT)));
    }
  }

  /** There is an answer; false if its user has been answered before. */
  public boolean markAnswered(ExchangeId exchange) {
    return unanswered.remove(exchange);
  }

  /** Those who can't wait any longer; they count as answered. */
  public List<ExchangeId> expire(Moment now) {
    List<ExchangeId> late = new ArrayList<>();
    for (Deque<PendingRequest> asked : List.of(queries, changes)) {
      while (!asked.isEmpty() && !asked.peek().deadline().isAfter(now)) {
        ExchangeId exchange = asked.poll().exchange();
        if (unanswered.remove(exchange)) {
          late.add(exchange);
        }
      }
    }
    return late;
  }
}
