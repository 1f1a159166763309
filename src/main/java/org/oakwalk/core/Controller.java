package org.oakwalk.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.capacity.MachineTypeCatalog;
import org.oakwalk.core.job.AdmissionControl;
import org.oakwalk.core.job.PendingUserRequests;
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
 * A controller node without I/O: it takes events and returns effects. It has no clock, thread or
 * source of randomness of its own, so the same events always produce the same effects.
 */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /** Interval of the digests that a leader sends to its peers. */
  private static final TimeSpan DIGEST_INTERVAL = TimeSpan.millis(1000);

  /** Interval of the leader's summary in the log. */
  private static final TimeSpan SUMMARY_INTERVAL = TimeSpan.seconds(10);

  /**
   * Maximum age of the last store read at which this node reports ready on its own; beyond it, the
   * node is ready only while a peer can serve its requests.
   */
  private static final TimeSpan READY_CONTACT_TIMEOUT = TimeSpan.seconds(6);

  /** How long after its last digest a leader still counts as able to serve user requests. */
  private static final TimeSpan SERVING_PEER_TIMEOUT = TimeSpan.millis(2500);

  private static final TimeSpan RETRY_AFTER = TimeSpan.seconds(1);

  /** Ticks arrive far more often; a longer gap between events means that this process stalled. */
  private static final TimeSpan STALL_THRESHOLD = TimeSpan.seconds(1);

  /** Maximum age of the last store read for a worker to be redirected to the leader it names. */
  private static final TimeSpan LEADER_INFO_MAX_AGE = TimeSpan.seconds(5);

  /** How long after a stall this node waits for a read of the store. */
  private static final TimeSpan STALL_READ_TIMEOUT = TimeSpan.seconds(1);

  private final Settings settings;
  private final Outbox outbox = new Outbox();
  private final StoreView view;
  private final Leadership leadership;
  private final LeaseRelay relay;
  private final ReportForwarding forwarding = new ReportForwarding();
  private final WorkerRedirects redirects = new WorkerRedirects();
  private final UserRequestHandler userRequests;
  private final WithdrawalHalts halts;
  private final PendingUserRequests pendingRequests = new PendingUserRequests();
  private final MachineTypeCatalog machineTypeCatalog;
  private Optional<LeaderTerm> term = Optional.empty();
  private MonotonicTime nextDigest = new MonotonicTime(Long.MIN_VALUE / 2);
  private Optional<NodeId> digestSender = Optional.empty();
  private MonotonicTime lastServingDigest = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextSummary = new MonotonicTime(Long.MIN_VALUE / 2);
  private long rejectedDigests;
  private Optional<MonotonicTime> lastEvent = Optional.empty();
  private Set<JobId> suspects = Set.of();
  private MonotonicTime stallEnd = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime now = new MonotonicTime(0);
  private WallTime wall = new WallTime(0);

  /**
   * Creates a node in its initial state.
   *
   * @param incarnation distinguishes this run of the node's process from all others
   */
  public Controller(Settings settings, Policy policy, String incarnation) {
    this.settings = settings;
    this.view =
        new StoreView(outbox, settings.state().requestsPerSecond(), settings.peers().size() + 1);
    TimeSpan graceLimit = settings.workers().graceLimit();
    if (!settings.workers().meetsCancelDeadline()) {
      LOG.warn("lease_s is too long for cancel_s: unreachable tasks may outlive a cancellation");
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
              public void leadershipGained(Token token, MonotonicTime at) {
                view.setLeading(true);
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
              public void leadershipLost(Token token, MonotonicTime at) {
                view.setLeading(false);
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
            new AdmissionControl(settings.teams(), view, policy.maxOpenJobs()));
    this.machineTypeCatalog = new MachineTypeCatalog(outbox);
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {
            leadership.leaderChanged(at);
          }

          @Override
          public void jobChanged(KnownJob job, MonotonicTime at) {
            term.ifPresent(t -> t.jobChanged(job, at));
          }

          @Override
          public void historyTruncated(MonotonicTime at) {
            leadership.historyLost(at);
          }
        });
  }

  /** Whether this node holds a token that it has not lost as far as it knows. */
  public boolean leads() {
    return leadership.holdsToken();
  }

  private Leadership leadership() {
    return leadership;
  }

  /** Handles an event and returns the resulting effects. */
  public List<Effect> handle(Event event, MonotonicTime monotonicTime, WallTime timeOfDay) {
    now = monotonicTime;
    wall = timeOfDay;
    if (lastEvent.isPresent() && now.isPast(lastEvent.get(), STALL_THRESHOLD)) {
      LOG.info("process stalled for {}", now.since(lastEvent.get()));
      stallEnd = now;
      term.ifPresent(t -> t.processStalled(now));
    }
    lastEvent = Optional.of(now);
    view.setTime(now);
    userRequests.setTime(now, wall);
    dispatch(event);
    return outbox.takeEffects();
  }

  private void dispatch(Event event) {
    if (event instanceof Event.Tick) {
      tick();
    } else if (event instanceof Event.CallAnswered answered) {
      outbox.deliverAnswer(answered.call(), answered.answer());
    } else if (event instanceof Event.WorkerReportReceived received) {
      handleReport(received);
    } else if (event instanceof Event.UserRequestReceived received) {
      serveUser(received);
    } else if (event instanceof Event.HealthCheckReceived healthCheck) {
      outbox.respond(healthCheck.requestId(), healthResponse());
    } else if (event instanceof Event.PeerMessageReceived received) {
      handlePeerMessage(received);
    }
  }

  /** Handles a worker's report. A follower forwards it, or renews the lease for the leader. */
  private void handleReport(Event.WorkerReportReceived received) {
    Report report = received.report();
    if (term.isPresent()) {
      Optional<NodeId> target =
          received.redirectPreferred()
                  && leadership.mayAnswerWorkers(now)
                  && !term.get().reportsHigherToken(report)
              ? redirects.target(report.machine(), now)
              : Optional.empty();
      outbox.respond(
          received.requestId(),
          target.isPresent() ? new Response.Redirect(target) : respondToReport(report, false));
    } else if (forwarding.shouldForward(report, now)) {
      forwardReport(received, forwarding.leader(now).orElseThrow());
    } else {
      relay.resolveToken(
          report,
          now,
          token ->
              outbox.respond(
                  received.requestId(),
                  token.isPresent()
                      ? new Response.Orders(token.get(), halts.haltsFor(report))
                      : redirectToLeader()));
    }
  }

  private void forwardReport(Event.WorkerReportReceived received, NodeId leader) {
    outbox.call(
        new Request.SendToPeer(leader, new PeerMessage.ForwardReport(received.report())),
        answer ->
            outbox.respond(
                received.requestId(), forwardedReportResponse(received.report(), answer)));
  }

  /** The leader's orders for a worker whose report was forwarded to it. */
  private Response forwardedReportResponse(Report report, Answer answer) {
    if (answer instanceof Answer.PeerReply reply
        && reply.message() instanceof PeerMessage.ForwardedReportOrders forwarded
        && forwarded.token().isPresent()) {
      LOG.debug("orders forwarded to {}: {}", report.machine(), forwarded.orders());
      return new Response.Orders(forwarded.token().get(), halts.withHalts(forwarded.orders()));
    }
    return redirectToLeader();
  }

  private void tick() {
    view.tick(now);
    for (InboundRequestId expired : pendingRequests.expire(now)) {
      outbox.respond(expired, Response.unavailable("no answer in time", RETRY_AFTER));
    }
    leadership.tick(now);
    relay.tick(leadership.holdsToken(), now);
    machineTypeCatalog.tick(leadership.holdsToken(), view.machineTypes(), now);
    userRequests.setMachineTypes(machineTypeCatalog.types());
    if (term.isPresent()
        && leadership.mayStepDown(now)
        && term.get().isCutOffFromWorkers(redirects.hasTarget(now), now)) {
      leadership.stepDown(now);
    }
    term.ifPresent(
        t ->
            t.tick(
                machineTypeCatalog.types(),
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
   * Whether the store has been read since this process last stalled. Before that read another
   * leader may have taken over unnoticed, so this node places, rents and returns nothing. If the
   * store can't be read, it continues after a short wait like any leader that has lost the store.
   */
  private boolean hasReadSinceStall() {
    return !stallEnd.isAfter(view.lastConfirmed()) || now.isPast(stallEnd, STALL_READ_TIMEOUT);
  }

  private void sendDigests(LeaderTerm current) {
    Map<JobId, PeerMessage.TaskCounts> counts = current.counts();
    userRequests.setTaskCounts(counts);
    PeerMessage message =
        new PeerMessage.Digest(
            settings.node(), current.token(), view.isFresh(now), counts, current.suspects());
    for (NodeId peer : settings.peers()) {
      outbox.call(
          new Request.SendToPeer(peer, message),
          answer -> {
            if (answer instanceof Answer.PeerReply reply
                && reply.message() instanceof PeerMessage.Acknowledgement acknowledged) {
              redirects.followerHeard(acknowledged.from(), now);
              term.filter(t -> t == current && acknowledged.relinquished())
                  .ifPresent(t -> t.peerRelinquished(acknowledged.from(), now));
            }
          });
    }
  }

  private Response respondToReport(Report report, boolean workerCutOff) {
    if (term.isPresent() && term.get().reportsHigherToken(report)) {
      // Whether or not the token was ever granted, this worker ignores orders under this node's
      // token. If it was not granted, the leader treats the worker as silent, and its machine as
      // lost.
      leadership.workerReportedToken(report.token(), now);
      return redirectToLeader();
    }
    if (term.isPresent() && leadership.mayAnswerWorkers(now)) {
      if (!term.get().acceptsReports()) {
        // This answer renews the lease, so it must halt the tasks of withdrawn jobs.
        term.get().workerAnswered(report.machine(), now);
        return new Response.Orders(term.get().token(), halts.haltsFor(report));
      }
      Optional<Response.Orders> orders = term.get().handleReport(report, workerCutOff, now);
      return orders.isPresent()
          ? orders.get()
          : Response.unavailable("no use can be made of the report", RETRY_AFTER);
    }
    return redirectToLeader();
  }

  /**
   * Redirects a worker to the leader, if this node knows of one. An outdated copy of the store is
   * not used: the worker would go back and forth between this node and one that does not lead.
   */
  private Response redirectToLeader() {
    return new Response.Redirect(
        forwarding
            .leader(now)
            .or(
                () ->
                    view.leader()
                        .filter(leader -> !now.isPast(view.lastConfirmed(), LEADER_INFO_MAX_AGE))
                        .map(leader -> leader.record().node()))
            .filter(node -> !node.equals(settings.node())));
  }

  /**
   * Serves a user's request, through the leader if only this node has lost the state service. In an
   * outage the leader has lost it as well, and the request is refused at once.
   */
  private void serveUser(Event.UserRequestReceived received) {
    pendingRequests.add(received.requestId(), received.request(), now);
    userRequests.serve(
        received.request(),
        response -> {
          boolean unavailable = response instanceof Response.Problem p && p.status() == 503;
          if (unavailable && servingPeer().isPresent()) {
            forwardUserRequest(received, response);
          } else {
            answerUser(received, response);
          }
        });
  }

  private void answerUser(Event.UserRequestReceived received, Response response) {
    if (pendingRequests.markAnswered(received.requestId())) {
      outbox.respond(received.requestId(), response);
    }
  }

  private void forwardUserRequest(Event.UserRequestReceived received, Response fallback) {
    NodeId peer = servingPeer().orElseThrow();
    outbox.call(
        new Request.SendToPeer(peer, new PeerMessage.ForwardUserRequest(received.request())),
        answer -> {
          Optional<Response> forwarded = forwardedResponse(answer);
          LOG.debug(
              "request for job {} forwarded to {}, response {}; store copy at revision {}",
              received.request().job(),
              peer,
              forwarded,
              view.position());
          answerUser(
              received,
              forwarded
                  .map(reply -> userRequests.resolveForwarded(reply, fallback))
                  .orElse(fallback));
        });
  }

  private static Optional<Response> forwardedResponse(Answer answer) {
    return answer instanceof Answer.PeerReply reply
            && reply.message() instanceof PeerMessage.ForwardedResponse forwarded
        ? Optional.of(forwarded.response())
        : Optional.empty();
  }

  private Optional<NodeId> servingPeer() {
    return now.isPast(lastServingDigest, SERVING_PEER_TIMEOUT) ? Optional.empty() : digestSender;
  }

  private Response healthResponse() {
    boolean reachesStore =
        !now.isPast(view.lastConfirmed(), READY_CONTACT_TIMEOUT) || servingPeer().isPresent();
    boolean ready = view.isLoaded() && userRequests.hasMachineTypes() && reachesStore;
    return ready ? new Response.Ready() : Response.unavailable("not ready", RETRY_AFTER);
  }

  private void handlePeerMessage(Event.PeerMessageReceived received) {
    if (received.message() instanceof PeerMessage.Digest digest
        && view.isImplausible(digest.token(), now)) {
      // Accepting the token would keep this node from leading and from recognizing the real leader.
      if (rejectedDigests++ == 0) {
        LOG.error(
            "digest from {} rejected: token {} was never granted", digest.from(), digest.token());
      }
      outbox.respond(received.requestId(), Response.refusal(400, "no such token"));
    } else if (received.message() instanceof PeerMessage.Digest digest) {
      leadership.observeToken(digest.token(), now);
      relay.leaderHeard(digest.token(), now);
      if (view.leader().filter(l -> l.token().compareTo(digest.token()) > 0).isEmpty()) {
        // Excludes a leader that has been replaced without knowing it yet.
        forwarding.leaderHeard(digest.from(), digest.token(), now);
      }
      if (term.isEmpty()) {
        userRequests.setTaskCounts(digest.counts());
        suspects = digest.suspects();
        if (digest.reachesStateService()) {
          digestSender = Optional.of(digest.from());
          lastServingDigest = now;
        }
      }
      outbox.respond(
          received.requestId(),
          new Response.PeerResponse(
              new PeerMessage.Acknowledgement(settings.node(), !leadership.holdsToken())));
    } else if (received.message() instanceof PeerMessage.Probe) {
      outbox.respond(
          received.requestId(),
          new Response.PeerResponse(new PeerMessage.Acknowledgement(settings.node(), false)));
    } else if (received.message() instanceof PeerMessage.ForwardReport forwarded) {
      boolean workerCutOff = !redirects.redirectedRecently(forwarded.report().machine(), now);
      Response response = respondToReport(forwarded.report(), workerCutOff);
      outbox.respond(
          received.requestId(),
          new Response.PeerResponse(
              response instanceof Response.Orders orders
                  ? new PeerMessage.ForwardedReportOrders(
                      Optional.of(orders.token()), orders.orders())
                  : new PeerMessage.ForwardedReportOrders(Optional.empty(), List.of())));
    } else if (received.message() instanceof PeerMessage.ForwardUserRequest forward) {
      userRequests.serve(
          forward.request(),
          response ->
              outbox.respond(
                  received.requestId(),
                  new Response.PeerResponse(new PeerMessage.ForwardedResponse(response))));
    } else {
      outbox.respond(received.requestId(), Response.refusal(400, "unexpected message"));
    }
  }
}
