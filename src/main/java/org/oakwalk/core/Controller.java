package org.oakwalk.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.capacity.Catalogue;
import org.oakwalk.core.job.Admission;
import org.oakwalk.core.job.OpenQuestions;
import org.oakwalk.core.job.UserRequestHandler;
import org.oakwalk.core.leadership.Leadership;
import org.oakwalk.core.leadership.LeaseRelay;
import org.oakwalk.core.leadership.ReportForwarding;
import org.oakwalk.core.leadership.WithdrawalHalts;
import org.oakwalk.core.leadership.WorkerRedirects;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Event;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller node without input or output: events go in, effects come out. It has no clock, no
 * thread and no randomness of its own, so the same events always give the same effects.
 */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final Span DIGEST_INTERVAL = Span.millis(1000);
  private static final Span SUMMARY_INTERVAL = Span.seconds(10);
  private static final Span READY_CONTACT_TIMEOUT = Span.seconds(6);
  private static final Span SERVING_PEER_TIMEOUT = Span.millis(2500);
  private static final Span RETRY_AFTER = Span.seconds(1);

  /** Ticks come far more often; after a longer gap this process itself stood still. */
  private static final Span STALL_THRESHOLD = Span.seconds(1);

  private static final Span LEADER_INFO_MAX_AGE = Span.seconds(5);
  private static final Span STALL_READ_TIMEOUT = Span.seconds(1);

  private final Settings settings;
  private final Outbox outbox = new Outbox();
  private final StoreView view;
  private final Leadership leadership;
  private final LeaseRelay relay;
  private final ReportForwarding forwarding = new ReportForwarding();
  private final WorkerRedirects redirects = new WorkerRedirects();
  private final UserRequestHandler userRequests;
  private final WithdrawalHalts halts;
  private final OpenQuestions pendingRequests = new OpenQuestions();
  private final Catalogue catalogue;
  private Optional<LeaderTerm> term = Optional.empty();
  private Moment nextDigest = new Moment(Long.MIN_VALUE / 2);
  private Optional<NodeId> digestSender = Optional.empty();
  private Moment lastServingDigest = new Moment(Long.MIN_VALUE / 2);
  private Moment nextSummary = new Moment(Long.MIN_VALUE / 2);
  private long rejectedDigests;
  private Optional<Moment> lastEvent = Optional.empty();
  private Set<JobId> suspects = Set.of();
  private Moment stallEnd = new Moment(Long.MIN_VALUE / 2);
  private Moment now = new Moment(0);
  private WallTime wall = new WallTime(0);

  /**
   * A node that has just started.
   *
   * @param incarnation tells this life of the node from all others
   */
  public Controller(Settings settings, Policy policy, String incarnation) {
    this.settings = settings;
    this.view =
        new StoreView(outbox, settings.state().requestsPerSecond(), settings.peers().size() + 1);
    Span graceLimit = settings.workers().graceLimit();
    if (!settings.workers().meetsCancelDeadline()) {
      LOG.warn("a lease alone may outlast cancel_s: tasks out of reach may end too late");
    }
    this.leadership =
        new Leadership(
            outbox,
            view,
            settings.node(),
            settings.zone(),
            incarnation,
            graceLimit,
            new Leadership.Listener() {
              @Override
              public void leadershipGained(Token token, Moment at) {
                view.leads(true);
                term =
                    Optional.of(
                        new LeaderTerm(
                            token,
                            settings,
                            policy,
                            outbox,
                            view,
                            graceLimit,
                            seen -> leadership().workerReportedToken(seen, now),
                            at));
                term.get().markSuspects(suspects);
              }

              @Override
              public void leadershipLost(Token token, Moment at) {
                view.leads(false);
                term = Optional.empty();
              }
            });
    this.halts = new WithdrawalHalts(view);
    this.relay = new LeaseRelay(outbox, view, settings);
    this.userRequests =
        new UserRequestHandler(
            outbox,
            view,
            settings.teams(),
            new Admission(settings.teams(), view, policy.maxOpenJobs()));
    this.catalogue = new Catalogue(outbox);
    view.listen(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(Moment at) {
            leadership.leaderChanged(at);
          }

          @Override
          public void jobChanged(KnownJob job, Moment at) {
            term.ifPresent(r -> r.jobChanged(job, at));
          }

          @Override
          public void historyLost(Moment at) {
            leadership.historyLost(at);
          }
        });
  }

  /** Whether this node holds a token that it has not seen fall. */
  public boolean leads() {
    return leadership.holdsToken();
  }

  private Leadership leadership() {
    return leadership;
  }

  /** Takes an event and returns what is to be done. */
  public List<Effect> handle(Event event, Moment steady, WallTime dayTime) {
    now = steady;
    wall = dayTime;
    if (lastEvent.isPresent() && now.isPast(lastEvent.get(), STALL_THRESHOLD)) {
      LOG.info("stood still for {}", now.since(lastEvent.get()));
      stallEnd = now;
      term.ifPresent(r -> r.processStalled(now));
    }
    lastEvent = Optional.of(now);
    view.clock(now);
    userRequests.clock(now, wall);
    dispatch(event);
    return outbox.takeEffects();
  }

  private void dispatch(Event event) {
    if (event instanceof Event.Tick) {
      tick();
    } else if (event instanceof Event.CallAnswered answered) {
      outbox.deliverAnswer(answered.call(), answered.answer());
    } else if (event instanceof Event.WorkerReportReceived reports) {
      handleReport(reports);
    } else if (event instanceof Event.UserRequestReceived asks) {
      serveUser(asks);
    } else if (event instanceof Event.HealthCheckReceived asked) {
      outbox.respond(asked.requestId(), healthResponse());
    } else if (event instanceof Event.PeerMessageReceived says) {
      handlePeerMessage(says);
    }
  }

  /** A worker reports: to the leader itself, or to a follower that may have to stand in. */
  private void handleReport(Event.WorkerReportReceived reports) {
    Report report = reports.report();
    if (term.isPresent()) {
      Optional<NodeId> target =
          reports.redirectPreferred()
                  && leadership.mayAnswerWorkers(now)
                  && !term.get().reportsHigherToken(report)
              ? redirects.target(report.machine(), now)
              : Optional.empty();
      outbox.respond(
          reports.requestId(),
          target.isPresent() ? new Response.Redirect(target) : respondToReport(report, false));
    } else if (forwarding.shouldForward(report, now)) {
      forwardReport(reports, forwarding.leader(now).orElseThrow());
    } else {
      relay.resolveToken(
          report,
          now,
          token ->
              outbox.respond(
                  reports.requestId(),
                  token.isPresent()
                      ? new Response.Orders(token.get(), halts.haltsFor(report))
                      : redirectToLeader()));
    }
  }

  private void forwardReport(Event.WorkerReportReceived reports, NodeId leader) {
    outbox.call(
        new Request.SendToPeer(leader, new PeerMessage.ForwardReport(reports.report())),
        answer ->
            outbox.respond(reports.requestId(), forwardedReportResponse(reports.report(), answer)));
  }

  /** The leader's orders for a worker whose report was carried to it. */
  private Response forwardedReportResponse(Report report, Answer answer) {
    if (answer instanceof Answer.PeerReply told
        && told.message() instanceof PeerMessage.ForwardedReportOrders carried
        && carried.token().isPresent()) {
      LOG.debug("orders carried to {}: {}", report.machine(), carried.orders());
      return new Response.Orders(carried.token().get(), halts.withHalts(carried.orders()));
    }
    return redirectToLeader();
  }

  private void tick() {
    view.tick(now);
    for (InboundRequestId expired : pendingRequests.late(now)) {
      outbox.respond(expired, Response.unavailable("no answer in time", RETRY_AFTER));
    }
    leadership.tick(now);
    relay.tick(leadership.holdsToken(), now);
    catalogue.tick(leadership.holdsToken(), view.types(), now);
    userRequests.types(catalogue.types());
    if (term.isPresent()
        && leadership.mayStepDown(now)
        && term.get().isCutOffFromWorkers(redirects.hasTarget(now), now)) {
      leadership.stepDown(now);
    }
    term.ifPresent(
        r ->
            r.tick(
                catalogue.types(),
                leadership.mayAnswerWorkers(now) && hasReadSinceStall(),
                now,
                wall));
    if (term.isPresent() && !nextDigest.isAfter(now)) {
      nextDigest = now.plus(DIGEST_INTERVAL);
      sendDigests(term.get());
    }
    if (term.isPresent() && !nextSummary.isAfter(now)) {
      nextSummary = now.plus(SUMMARY_INTERVAL);
      LOG.info("{}", term.get().summary());
    }
  }

  /**
   * Whether the store has been read since this process last stood still. Before that it may have
   * been succeeded without knowing, and places, rents and returns nothing; where the store can't be
   * read either, it goes on after a moment like any leader that has lost the store.
   */
  private boolean hasReadSinceStall() {
    return !stallEnd.isAfter(view.contact()) || now.isPast(stallEnd, STALL_READ_TIMEOUT);
  }

  private void sendDigests(LeaderTerm current) {
    Map<JobId, PeerMessage.TaskCounts> counts = current.counts();
    userRequests.counts(counts);
    PeerMessage message =
        new PeerMessage.Digest(
            settings.node(), current.token(), view.fresh(now), counts, current.suspects());
    for (NodeId peer : settings.peers()) {
      outbox.call(
          new Request.SendToPeer(peer, message),
          answer -> {
            if (answer instanceof Answer.PeerReply told
                && told.message() instanceof PeerMessage.Acknowledgement acknowledged) {
              redirects.followerHeard(acknowledged.from(), now);
              term.filter(r -> r == current && acknowledged.relinquished())
                  .ifPresent(r -> r.peerRelinquished(acknowledged.from(), now));
            }
          });
    }
  }

  private Response respondToReport(Report report, boolean cutOff) {
    if (term.isPresent() && term.get().reportsHigherToken(report)) {
      // Whoever was granted it, this worker drops what is said under this node's token. If nobody
      // was, it stays silent for this leader, and its machine is lost like others that are.
      leadership.workerReportedToken(report.token(), now);
      return redirectToLeader();
    }
    if (term.isPresent() && leadership.mayAnswerWorkers(now)) {
      if (!term.get().acceptsReports()) {
        // The lease is renewed all the same, so what was withdrawn must end by this answer.
        term.get().workerAnswered(report.machine(), now);
        return new Response.Orders(term.get().token(), halts.haltsFor(report));
      }
      Optional<Response.Orders> orders = term.get().report(report, cutOff, now);
      return orders.isPresent()
          ? orders.get()
          : Response.unavailable("no use can be made of the report", RETRY_AFTER);
    }
    return redirectToLeader();
  }

  /**
   * Sends a worker to the leader, if this node knows of one. What it read of the store long ago
   * tells nothing: a worker would go to and fro between this node and one that doesn't lead.
   */
  private Response redirectToLeader() {
    return new Response.Redirect(
        forwarding
            .leader(now)
            .or(
                () ->
                    view.leader()
                        .filter(leader -> !now.isPast(view.contact(), LEADER_INFO_MAX_AGE))
                        .map(leader -> leader.record().node()))
            .filter(node -> !node.equals(settings.node())));
  }

  /**
   * Serves a user, through the leader if this node alone has lost the state service. In an outage
   * the leader has lost it as well, and the user is sent away at once.
   */
  private void serveUser(Event.UserRequestReceived asks) {
    pendingRequests.asked(asks.requestId(), asks.request(), now);
    userRequests.serve(
        asks.request(),
        response -> {
          boolean unavailable = response instanceof Response.Problem p && p.status() == 503;
          if (unavailable && servingPeer().isPresent()) {
            forwardUserRequest(asks, response);
          } else {
            answerUser(asks, response);
          }
        });
  }

  private void answerUser(Event.UserRequestReceived asks, Response response) {
    if (pendingRequests.answered(asks.requestId())) {
      outbox.respond(asks.requestId(), response);
    }
  }

  private void forwardUserRequest(Event.UserRequestReceived asks, Response otherwise) {
    NodeId peer = servingPeer().orElseThrow();
    outbox.call(
        new Request.SendToPeer(peer, new PeerMessage.ForwardUserRequest(asks.request())),
        answer -> {
          Optional<Response> forwarded = forwardedResponse(answer);
          LOG.debug(
              "request for job {} forwarded to {}, answered {}; copy of the store at revision {}",
              asks.request().job(),
              peer,
              forwarded,
              view.position());
          answerUser(
              asks, forwarded.map(told -> userRequests.passOn(told, otherwise)).orElse(otherwise));
        });
  }

  private static Optional<Response> forwardedResponse(Answer answer) {
    return answer instanceof Answer.PeerReply told
            && told.message() instanceof PeerMessage.ForwardedResponse forwarded
        ? Optional.of(forwarded.response())
        : Optional.empty();
  }

  private Optional<NodeId> servingPeer() {
    return now.isPast(lastServingDigest, SERVING_PEER_TIMEOUT) ? Optional.empty() : digestSender;
  }

  private Response healthResponse() {
    boolean reaches =
        !now.isPast(view.contact(), READY_CONTACT_TIMEOUT) || servingPeer().isPresent();
    boolean serves = view.loaded() && userRequests.knowsTypes() && reaches;
    return serves ? new Response.Ready() : Response.unavailable("not ready", RETRY_AFTER);
  }

  private void handlePeerMessage(Event.PeerMessageReceived says) {
    if (says.message() instanceof PeerMessage.Digest digest && view.beyond(digest.token(), now)) {
      // Taken for true it would keep this node from leading, and from hearing who does.
      if (rejectedDigests++ == 0) {
        LOG.error("digest of {}: nobody was granted token {}", digest.from(), digest.token());
      }
      outbox.respond(says.requestId(), Response.refusal(400, "no such token"));
    } else if (says.message() instanceof PeerMessage.Digest digest) {
      leadership.observeToken(digest.token(), now);
      relay.leaderHeard(digest.token(), now);
      if (view.leader().filter(l -> l.token().compareTo(digest.token()) > 0).isEmpty()) {
        // Not one that was succeeded and does not know.
        forwarding.leaderHeard(digest.from(), digest.token(), now);
      }
      if (term.isEmpty()) {
        userRequests.counts(digest.counts());
        suspects = digest.suspects();
        if (digest.reachesStateService()) {
          digestSender = Optional.of(digest.from());
          lastServingDigest = now;
        }
      }
      outbox.respond(
          says.requestId(),
          new Response.PeerResponse(
              new PeerMessage.Acknowledgement(settings.node(), !leadership.holdsToken())));
    } else if (says.message() instanceof PeerMessage.Probe) {
      outbox.respond(
          says.requestId(),
          new Response.PeerResponse(new PeerMessage.Acknowledgement(settings.node(), false)));
    } else if (says.message() instanceof PeerMessage.ForwardReport carry) {
      boolean cutOff = !redirects.redirectedRecently(carry.report().machine(), now);
      Response response = respondToReport(carry.report(), cutOff);
      outbox.respond(
          says.requestId(),
          new Response.PeerResponse(
              response instanceof Response.Orders orders
                  ? new PeerMessage.ForwardedReportOrders(
                      Optional.of(orders.token()), orders.orders())
                  : new PeerMessage.ForwardedReportOrders(Optional.empty(), List.of())));
    } else if (says.message() instanceof PeerMessage.ForwardUserRequest forward) {
      userRequests.serve(
          forward.request(),
          response ->
              outbox.respond(
                  says.requestId(),
                  new Response.PeerResponse(new PeerMessage.ForwardedResponse(response))));
    } else {
      outbox.respond(says.requestId(), Response.refusal(400, "unexpected message"));
    }
  }
}
