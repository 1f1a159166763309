package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * Guards against messages beyond the protocol's limit of 64 KiB in JSON, at the bounds on tasks and
 * orders and with the longest ids and numbers. Controllers refuse larger reports, so their
 * machine's lease would end and all its tasks would start again.
 */
class WorkerMessageSizeTest {
  private static final int MAX_BYTES = 64 * 1024;

  private static final TaskId LONGEST_TASK =
      new TaskId(new JobId("j-" + "9".repeat(18)), JobSpec.MAX_TASKS - 1);
  private static final Attempt LONGEST_ATTEMPT = new Attempt(Long.MAX_VALUE);

  @Test
  void reportOfFullMachineIsWithinLimit() {
    Report.ReportedTask task =
        new Report.ReportedTask(
            LONGEST_TASK, LONGEST_ATTEMPT, Report.TaskState.ENDED, Report.Cause.UNKNOWN);
    String name = "x".repeat(200);
    Report report =
        new Report(
            new MachineId(name),
            name,
            name,
            name,
            true,
            new SessionId(Long.MAX_VALUE),
            Long.MAX_VALUE,
            new Token(Long.MAX_VALUE),
            Optional.of(TimeSpan.seconds(1e9)),
            Collections.nCopies(Resources.TASK_SLOTS_PER_MACHINE, task));
    ObjectNode map = BinaryEncoding.newMap();
    WorkerCodec.write(map, report);
    int kept = ",\"kept\":true".length();
    assertThat(map.toString().length() + kept * report.tasks().size())
        .isLessThanOrEqualTo(MAX_BYTES);
  }

  @Test
  void responseAtItsBoundIsWithinLimit() throws MalformedMessageException {
    Order longest = new Order.Halt(LONGEST_TASK, LONGEST_ATTEMPT, TimeSpan.millis(999_999_999));
    List<Order> orders = Collections.nCopies(Fleet.MAX_ORDERS_PER_RESPONSE, longest);
    JsonNode body =
        BinaryEncoding.decodeMessagePackMap(WorkerCodec.orders(new Token(Long.MAX_VALUE), orders));
    assertThat(body.toString().length()).isLessThanOrEqualTo(MAX_BYTES);
  }
}
