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

/** Sends forged messages with impossible contents to controllers and workers. */
final class ForgedMessages {
  private static final long UNISSUED_NUMBER = Long.MAX_VALUE - 1;

  private ForgedMessages() {}

  /** Makes a worker adopt and report a token that was never granted to a controller. */
  static void sendForgedToken(SimWorker worker, long token) {
    worker.receiveCommand(
        new Request.Command(
            worker.address(), new Token(token), new SessionId(worker.session()), List.of()),
        answer -> {});
  }

  /** Sends a report in the name of a worker, with the fields named in the line forged. */
  static void sendForgedReport(SimWorker worker, ScenarioLine line, List<SimNode> to) {
    Report real = worker.snapshot();
    List<Report.ReportedTask> pieces = new ArrayList<>(real.tasks());
    String task = line.text("piece", "");
    if (!task.isEmpty()) {
      pieces.add(
          new Report.ReportedTask(
              TaskId.parse(task).orElseThrow(),
              new Attempt(UNISSUED_NUMBER),
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
            line.hasWord("shift") ? new SessionId(UNISSUED_NUMBER) : real.session(),
            line.hasWord("tick") ? UNISSUED_NUMBER : real.sequence(),
            line.hasWord("baton") ? new Token(UNISSUED_NUMBER) : real.token(),
            Optional.empty(),
            pieces);
    to.forEach(node -> node.receiveReport(forged, response -> {}));
  }

  /** Sends a digest in the name of a peer, with a token that was never granted. */
  static void sendForgedDigest(SimNode from, long token, List<SimNode> to) {
    PeerMessage.Digest digest =
        new PeerMessage.Digest(
            from.id, new Token(token), true, java.util.Map.of(), java.util.Set.of());
    to.forEach(node -> node.receivePeerMessage(digest));
  }
}
