package org.oakwalk.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Order;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KeyChange;

/**
 * Detects starts of tasks whose job has ended, as known for certain to one run of a controller
 * process: it has told a user or peer so, or the state service has shown it the record. Ordering
 * such a start violates the protocol, even if the task never runs. A start that a later order in
 * the same message halts is allowed, since it only voids a start that is already on its way.
 */
final class StartAfterEndDetector {
  private final Map<JobId, JobRecord.Phase> knownEnds = new HashMap<>();

  /** A start that must not be ordered, with the end phase of its job. */
  record ForbiddenStart(Order order, JobRecord.Phase end) {}

  /** Records the job ends in an answer that reaches the controller. */
  void answerReceived(Request request, Answer answer) {
    if (answer instanceof Answer.Page page) {
      page.entries().stream().map(Entry::value).forEach(this::observeRecord);
    } else if (answer instanceof Answer.Changes changes) {
      changes.changes().stream()
          .map(KeyChange::value)
          .flatMap(Optional::stream)
          .forEach(this::observeRecord);
    } else if (answer instanceof Answer.Committed && request instanceof Request.Commit commit) {
      for (Change change : commit.changes()) {
        if (change instanceof Change.Put put) {
          observeRecord(put.value());
        }
      }
    }
  }

  private void observeRecord(Object value) {
    if (value instanceof JobRecord record && record.phase().isFinal()) {
      knownEnds.put(record.spec().id(), record.phase());
    }
  }

  /** Checks an effect of the controller, and returns the forbidden start that it orders, if any. */
  Optional<ForbiddenStart> checkEffect(Effect effect) {
    if (effect instanceof Effect.Respond respond) {
      Response response = respond.response();
      observeResponse(response);
      if (response instanceof Response.PeerResponse peerResponse) {
        if (peerResponse.message() instanceof PeerMessage.ForwardedResponse forwarded) {
          observeResponse(forwarded.response());
        } else if (peerResponse.message() instanceof PeerMessage.ForwardedReportOrders carried) {
          return forbiddenStart(carried.orders());
        }
      }
      return response instanceof Response.Orders orders
          ? forbiddenStart(orders.orders())
          : Optional.empty();
    }
    return effect instanceof Effect.Call call && call.request() instanceof Request.Command command
        ? forbiddenStart(command.orders())
        : Optional.empty();
  }

  private void observeResponse(Response response) {
    if (response instanceof Response.JobStatus status) {
      switch (status.state()) {
        case CANCELLED -> knownEnds.put(status.job(), JobRecord.Phase.WITHDRAWN);
        case DONE -> knownEnds.put(status.job(), JobRecord.Phase.DONE);
        default -> {}
      }
    }
  }

  private Optional<ForbiddenStart> forbiddenStart(List<Order> orders) {
    if (knownEnds.isEmpty()) {
      return Optional.empty();
    }
    return orders.stream()
        .filter(order -> order instanceof Order.Run && knownEnds.containsKey(order.task().job()))
        .filter(order -> ordersAfter(orders, order).noneMatch(other -> cancelsStart(other, order)))
        .findFirst()
        .map(order -> new ForbiddenStart(order, knownEnds.get(order.task().job())));
  }

  private static Stream<Order> ordersAfter(List<Order> orders, Order order) {
    return orders.stream().skip(orders.indexOf(order) + 1L);
  }

  private static boolean cancelsStart(Order order, Order run) {
    return order instanceof Order.Halt
        && order.task().equals(run.task())
        && order.attempt().equals(run.attempt());
  }
}
