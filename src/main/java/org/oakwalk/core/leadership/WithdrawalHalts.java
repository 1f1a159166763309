package org.oakwalk.core.leadership;

import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreView;

/**
 * Halt orders for tasks of withdrawn jobs. A controller may issue them without knowing the fleet's
 * state, because a task of a withdrawn job must end in any case.
 */
public final class WithdrawalHalts {
  private static final TimeSpan NO_GRACE = TimeSpan.millis(0);

  private final StoreView view;

  public WithdrawalHalts(StoreView view) {
    this.view = view;
  }

  /** Halt orders for all unfinished tasks of withdrawn jobs in a report. */
  public List<Order> haltsFor(Report report) {
    List<Order> halts = new ArrayList<>();
    for (Report.ReportedTask reported : report.tasks()) {
      if (withdrawn(reported.task().job()) && !reported.ended()) {
        halts.add(new Order.Halt(reported.task(), reported.attempt(), NO_GRACE));
      }
    }
    return halts;
  }

  /**
   * Adds halts to a leader's orders before they are passed on to a worker: the start of a withdrawn
   * job's task is followed by a halt in the same answer. The start is not omitted, because the
   * leader relies on the worker to know the attempt from then on, which voids older starts.
   */
  public List<Order> withHalts(List<Order> orders) {
    List<Order> extended = new ArrayList<>();
    for (Order order : orders) {
      extended.add(order);
      if (order instanceof Order.Run run && withdrawn(run.task().job())) {
        extended.add(new Order.Halt(run.task(), run.attempt(), NO_GRACE));
      }
    }
    return extended;
  }

  private boolean withdrawn(JobId id) {
    return view.job(id).filter(job -> job.phase() == JobRecord.Phase.WITHDRAWN).isPresent();
  }
}
