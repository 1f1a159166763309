package org.oakwalk.model;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.TaskId;

/**
 * Checks the protocol's limit on the size of messages between workers and controllers, which counts
 * their JSON form.
 */
final class MessageSizeRule {
  /** Limit on the body of a request, and of a response to a worker. */
  private static final int MAX_BYTES = 64 * 1024;

  /**
   * Fields of a report other than its tasks, and of a response or command other than its orders.
   */
  private static final int ENVELOPE_BYTES = 400;

  /** Names and punctuation of a task in a report, and of an order. */
  private static final int ENTRY_BYTES = "{\"piece\":\"\",\"try\":,\"status\":\"\"},".length();

  private static final int CAUSE_BYTES = ",\"cause\":\"\"".length();
  private static final int GRACE_BYTES = ",\"wind_down_s\":10.000".length();

  private MessageSizeRule() {}

  /** Whether a controller refuses a report for its size. */
  static boolean exceedsLimit(Report report) {
    int bytes = ENVELOPE_BYTES;
    for (Report.ReportedTask task : report.tasks()) {
      bytes += entryBytes(task.task(), task.attempt().value(), task.state().name().length());
      bytes += task.ended() ? CAUSE_BYTES + task.cause().name().length() : 0;
    }
    return bytes > MAX_BYTES;
  }

  /** Describes what is wrong with the orders of one message; empty if they are within the limit. */
  static Optional<String> violation(List<Order> orders) {
    int bytes = ENVELOPE_BYTES;
    for (Order order : orders) {
      int verbBytes = order.getClass().getSimpleName().length();
      bytes += entryBytes(order.task(), order.attempt().value(), verbBytes);
      bytes += order instanceof Order.Halt ? GRACE_BYTES : 0;
    }
    return bytes <= MAX_BYTES
        ? Optional.empty()
        : Optional.of(String.format(Locale.ROOT, "%d orders take %d bytes", orders.size(), bytes));
  }

  private static int entryBytes(TaskId task, long attempt, int wordBytes) {
    return ENTRY_BYTES + task.toString().length() + Long.toString(attempt).length() + wordBytes;
  }
}
