package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.Report;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;

/** What can't be true reaches the controllers in somebody's name. */
final class Forgery {
  private static final long STRANGE = Long.MAX_VALUE - 1;

  private Forgery() {}

  /** A worker takes over a token that no controller was granted, and reports it from then on. */
  static void mislead(SimWorker worker, long token) {
    worker.command(
        new Request.Command(
            worker.address(), new Token(token), new SessionId(worker.session()), List.of()),
        answer -> {});
  }

  /** A report in a worker's name that it did not send, some of its fields as the line says. */
  static void report(SimWorker worker, Words line, List<SimNode> to) {
    Report real = worker.snapshot();
    List<Report.ReportedTask> pieces = new ArrayList<>(real.tasks());
    String task = line.text("piece", "");
    if (!task.isEmpty()) {
      pieces.add(
          new Report.ReportedTask(
              TaskId.parse(task).orElseThrow(),
              new Attempt(STRANGE),
              Report.TaskState.RUNNING,
              null));
    }
    Report forged =
        new Report(
            real.machine(),
            real.address(),
            real.type(),
            real.zone(),
            real.spot(),
            line.has("shift") ? new SessionId(STRANGE) : real.session(),
            line.has("tick") ? STRANGE : real.sequence(),
            line.has("baton") ? new Token(STRANGE) : real.token(),
            Optional.empty(),
            pieces);
    to.forEach(node -> node.report(forged, response -> {}));
  }

  /** A digest in a peer's name, with a token that no controller was granted. */
  static void digest(SimNode from, long token, List<SimNode> to) {
    PeerMessage.Digest digest =
        new PeerMessage.Digest(
            from.id, new Token(token), true, java.util.Map.of(), java.util.Set.of());
    to.forEach(node -> node.told(digest));
  }
}
