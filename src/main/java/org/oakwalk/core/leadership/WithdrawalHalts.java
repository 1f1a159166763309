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
  private static final Span AT_ONCE = Span.millis(0);

  private final StoreView view;

  public WithdrawalHalts(StoreView view) {
    this.view = view;
  }

  /** Halts for all tasks of withdrawn jobs that a report shows. */
  public List<Order> haltsFor(Report report) {
    List<Order> halts = new ArrayList<>();
    for (Report.ReportedTask piece : report.tasks()) {
      if (withdrawn(piece.task().job()) && !piece.ended()) {
        halts.add(new Order.Halt(piece.task(), piece.attempt(), AT_ONCE));
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
    List<Order> added = new ArrayList<>();
    for (Order order : orders) {
      added.add(order);
      if (order instanceof Order.Run run && withdrawn(run.task().job())) {
        added.add(new Order.Halt(run.task(), run.attempt(), AT_ONCE));
      }
    }
    return added;
  }

  private boolean withdrawn(JobId id) {
    return view.job(id).filter(job -> job.phase() == JobRecord.Phase.WITHDRAWN).isPresent();
  }
}
