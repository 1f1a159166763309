package org.oakwalk.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.port.UserRequest;

/**
 * User requests that have not been answered yet.
 *
 * <p>Reads, writes, their delays by the rate limit and the forwarding through another controller
 * are each bounded, but the bounds add up to more than a client's timeout. A request without an
 * answer is therefore refused shortly before that timeout, so that the client receives the refusal
 * and can retry, and no state is kept for clients that have disconnected.
 */
public final class PendingUserRequests {
  /** Clients time out after 2 s for queries; the difference covers the network. */
  private static final TimeSpan QUERY_TIMEOUT = TimeSpan.millis(1_700);

  /** Clients time out after 5 s for submissions and withdrawals. */
  private static final TimeSpan CHANGE_TIMEOUT = TimeSpan.millis(4_500);

  private record PendingRequest(InboundRequestId id, MonotonicTime deadline) {}

  private final Deque<PendingRequest> queries = new ArrayDeque<>();
  private final Deque<PendingRequest> changes = new ArrayDeque<>();
  private final Set<InboundRequestId> unanswered = new HashSet<>();

  /** Adds a request that has just been received. */
  public void add(InboundRequestId id, UserRequest request, MonotonicTime now) {
    unanswered.add(id);
    if (request instanceof UserRequest.Query) {
      queries.add(new PendingRequest(id, now.plus(QUERY_TIMEOUT)));
    } else {
      changes.add(new PendingRequest(id, now.plus(CHANGE_TIMEOUT)));
    }
  }

  /** Marks a request as answered; returns false if it has been answered before. */
  public boolean markAnswered(InboundRequestId id) {
    return unanswered.remove(id);
  }

  /** Removes the requests whose timeout has passed and returns them; they count as answered. */
  public List<InboundRequestId> expire(MonotonicTime now) {
    List<InboundRequestId> expired = new ArrayList<>();
    for (Deque<PendingRequest> pending : List.of(queries, changes)) {
      while (!pending.isEmpty() && !pending.peek().deadline().isAfter(now)) {
        InboundRequestId id = pending.poll().id();
        if (unanswered.remove(id)) {
          expired.add(id);
        }
      }
    }
    return expired;
  }
}
