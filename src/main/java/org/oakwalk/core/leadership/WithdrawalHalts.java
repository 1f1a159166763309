package org.oakwalk.core.leadership;

import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.Span;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreView;

/**
 * What a controller may order without knowing the fleet: tasks of jobs that it knows to be
 * withdrawn must end.
 */
public final class WithdrawalHalts {
  private static final Span NO_GRACE = Span.millis(0);

  private final StoreView view;

  public WithdrawalHalts(StoreView view) {
    this.view = view;
  }

  /** Halts for all tasks of withdrawn jobs that a report shows. */
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
   * A leader's orders as they may be handed on to a worker: a start of a withdrawn job's task is
   * stopped in the same answer. It is not left out, since the leader counts on the worker to know
   * the attempt from then on, which makes older starts void.
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
