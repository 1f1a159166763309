package org.oakwalk.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.UserRequest;

/**
 * What users have asked and not been answered yet. Reads, writes, their waits for the rate and the
 * way through another controller each have bounds of their own, which add up to more than a user
 * waits. So whoever is not answered by then is refused, in time to hear of it and ask again, and
 * nothing is kept for those who have gone.
 */
public final class OpenQuestions {
  /** Users wait 2 s for the answer to a poll, and 5 s for others; the way takes its part. */
  private static final Span POLL = Span.millis(1_700);

  private static final Span OTHER = Span.millis(4_500);

  private record Asked(InboundRequestId exchange, Moment due) {}

  private final Deque<Asked> polls = new ArrayDeque<>();
  private final Deque<Asked> others = new ArrayDeque<>();
  private final Set<InboundRequestId> open = new HashSet<>();

  /** A user asks. */
  public void asked(InboundRequestId exchange, UserRequest request, Moment now) {
    open.add(exchange);
    if (request instanceof UserRequest.Query) {
      polls.add(new Asked(exchange, now.plus(POLL)));
    } else {
      others.add(new Asked(exchange, now.plus(OTHER)));
    }
  }

  /** There is an answer; false if its user has been answered before. */
  public boolean answered(InboundRequestId exchange) {
    return open.remove(exchange);
  }

  /** Those who can't wait any longer; they count as answered. */
  public List<InboundRequestId> late(Moment now) {
    List<InboundRequestId> late = new ArrayList<>();
    for (Deque<Asked> asked : List.of(polls, others)) {
      while (!asked.isEmpty() && !asked.peek().due().isAfter(now)) {
        InboundRequestId exchange = asked.poll().exchange();
        if (open.remove(exchange)) {
          late.add(exchange);
        }
      }
    }
    return late;
  }
}
