package org.oakwalk.model;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import org.oakwalk.core.store.News;

/**
 * What one life of a controller knows for certain to be cancelled: it has told somebody so, or the
 * state service has shown it the record. A start that it orders after that is against the protocol,
 * also if the task never comes to run. One that the same message stops again is none: it only makes
 * a start that is on its way void.
 */
final class KnownCancelled {
  private final Set<JobId> jobs = new HashSet<>();

  /** An answer to a request reaches the controller. */
  void answered(Request request, Answer answer) {
    if (answer instanceof Answer.Page page) {
      page.entries().stream().map(Entry::value).forEach(this::shown);
    } else if (answer instanceof Answer.Changes changes) {
      changes.news().stream().map(News::value).flatMap(Optional::stream).forEach(this::shown);
    } else if (answer instanceof Answer.Committed && request instanceof Request.Commit commit) {
      for (Change change : commit.changes()) {
        if (change instanceof Change.Put put) {
          shown(put.value());
        }
      }
    }
  }

  private void shown(Object value) {
    if (value instanceof JobRecord record && record.phase() == JobRecord.Phase.WITHDRAWN) {
      jobs.add(record.spec().id());
    }
  }

  /** The controller decides something; returns a start that it must not order. */
  Optional<Order> decides(Effect effect) {
    if (effect instanceof Effect.Respond respond) {
      Response response = respond.response();
      tells(response);
      if (response instanceof Response.ToPeer toPeer) {
        if (toPeer.message() instanceof PeerMessage.Forwarded forwarded) {
          tells(forwarded.response());
        } else if (toPeer.message() instanceof PeerMessage.Carried carried) {
          return start(carried.orders());
        }
      }
      return response instanceof Response.Orders orders ? start(orders.orders()) : Optional.empty();
    }
    return effect instanceof Effect.Call call && call.request() instanceof Request.Command command
        ? start(command.orders())
        : Optional.empty();
  }

  private void tells(Response response) {
    if (response instanceof Response.JobStatus status
        && status.state() == Response.JobState.CANCELLED) {
      jobs.add(status.job());
    }
  }

  private Optional<Order> start(List<Order> orders) {
    if (jobs.isEmpty()) {
      return Optional.empty();
    }
    return orders.stream()
        .filter(order -> order instanceof Order.Run && jobs.contains(order.task().job()))
        .filter(order -> later(orders, order).noneMatch(each -> stops(each, order)))
        .findFirst();
  }

  private static Stream<Order> later(List<Order> orders, Order order) {
    return orders.stream().skip(orders.indexOf(order) + 1L);
  }

  private static boolean stops(Order order, Order run) {
    return order instanceof Order.Halt
        && order.task().equals(run.task())
        && order.attempt().equals(run.attempt());
  }
}
