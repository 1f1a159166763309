package org.oakwalk.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.capacity.MachineTypeCatalog;
import org.oakwalk.core.job.Admission;
import org.oakwalk.core.job.OpenQuestions;
import org.oakwalk.core.job.UserRequestHandler;
import org.oakwalk.core.leadership.Leadership;
import org.oakwalk.core.leadership.Relay;
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
  private static final Span DIGEST_EVERY = Span.millis(1000);
  private static final Span SUMMARY_EVERY = Span.seconds(10);
  private static final Span READY_WITHOUT_CONTACT = Span.seconds(6);
  private static final Span DIGEST_COUNTS_FOR = Span.millis(2500);
  private static final Span SOON = Span.seconds(1);

  /** Ticks come far more often; after a longer gap this process itself stood still. */
  private static final Span STOOD_STILL = Span.seconds(1);

  private static final Span NAMES_LEADER_FOR = Span.seconds(5);
  private static final Span INFORMED_WITHIN = Span.seconds(1);

  private final Settings settings;
  private final Outbox outbox = new Outbox();
  private final StoreView view;
  private final Leadership leadership;
  private final Relay relay;
  private final ReportForwarding forwarding = new ReportForwarding();
  private final WorkerRedirects redirects = new WorkerRedirects();
  private final UserRequestHandler userRequests;
  private final WithdrawalHalts halts;
  private final OpenQuestions questions = new OpenQuestions();
  private final MachineTypeCatalog catalogue;
  private Optional<LeaderTerm> term = Optional.empty();
  private Moment nextDigest = new Moment(Long.MIN_VALUE / 2);
  private Optional<NodeId> digestFrom = Optional.empty();
  private Moment digested = new Moment(Long.MIN_VALUE / 2);
  private Moment nextSummary = new Moment(Long.MIN_VALUE / 2);
  private long strangeDigests;
  private Optional<Moment> handled = Optional.empty();
  private Set<JobId> suspects = Set.of();
  private Moment awake = new Moment(Long.MIN_VALUE / 2);
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
    if (!settings.workers().cancelsInTime()) {
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
              public void rises(Token token, Moment at) {
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
                            seen -> leadership().shownByWorker(seen, now),
                            at));
                term.get().suspected(suspects);
              }

              @Override
              public void falls(Token token, Moment at) {
                view.setLeading(false);
                term = Optional.empty();
              }
            });
    this.halts = new WithdrawalHalts(view);
    this.relay = new Relay(outbox, view, settings);
    this.userRequests =
        new UserRequestHandler(
            outbox,
            view,
            settings.teams(),
            new Admission(settings.teams(), view, policy.mostOpenJobs()));
    this.catalogue = new MachineTypeCatalog(outbox);
    view.setListener(
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
          public void historyTruncated(Moment at) {
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
    if (handled.isPresent() && now.past(handled.get(), STOOD_STILL)) {
      LOG.info("stood still for {}", now.since(handled.get()));
      awake = now;
      term.ifPresent(r -> r.stoodStill(now));
    }
    handled = Optional.of(now);
    view.setTime(now);
    userRequests.clock(now, wall);
    step(event);
    return outbox.drain();
  }

  private void step(Event event) {
    if (event instanceof Event.Tick) {
      tick();
    } else if (event instanceof Event.Answered answered) {
      outbox.answered(answered.call(), answered.answer());
    } else if (event instanceof Event.WorkerReports reports) {
      worker(reports);
    } else if (event instanceof Event.UserAsks asks) {
      serve(asks);
    } else if (event instanceof Event.HealthAsked asked) {
      outbox.respond(asked.exchange(), health());
    } else if (event instanceof Event.PeerSays says) {
      peer(says);
    }
  }

  /** A worker reports: to the leader itself, or to a follower that may have to stand in. */
  private void worker(Event.WorkerReports reports) {
    Report report = reports.report();
    if (term.isPresent()) {
      Optional<NodeId> host =
          reports.crowded() && leadership.mayAnswer(now) && !term.get().above(report)
              ? redirects.host(report.machine(), now)
              : Optional.empty();
      outbox.respond(
          reports.exchange(),
          host.isPresent() ? new Response.Elsewhere(host) : report(report, false));
    } else if (forwarding.carries(report, now)) {
      carry(reports, forwarding.leader(now).orElseThrow());
    } else {
      relay.answer(
          report,
          now,
          token ->
              outbox.respond(
                  reports.exchange(),
                  token.isPresent()
                      ? new Response.Orders(token.get(), halts.of(report))
                      : elsewhere()));
    }
  }

  private void carry(Event.WorkerReports reports, NodeId leader) {
    outbox.call(
        new Request.Tell(leader, new PeerMessage.Carry(reports.report())),
        answer -> outbox.respond(reports.exchange(), carried(reports.report(), answer)));
  }

  /** The leader's orders for a worker whose report was carried to it. */
  private Response carried(Report report, Answer answer) {
    if (answer instanceof Answer.Told told
        && told.message() instanceof PeerMessage.Carried carried
        && carried.token().isPresent()) {
      LOG.debug("orders carried to {}: {}", report.machine(), carried.orders());
      return new Response.Orders(carried.token().get(), halts.added(carried.orders()));
    }
    return elsewhere();
  }

  private void tick() {
    view.tick(now);
    for (ExchangeId late : questions.late(now)) {
      outbox.respond(late, Response.unavailable("no answer in time", SOON));
    }
    leadership.tick(now);
    relay.tick(leadership.holdsToken(), now);
    catalogue.tick(leadership.holdsToken(), view.machineTypes(), now);
    userRequests.types(catalogue.types());
    if (term.isPresent()
        && leadership.mayStepAside(now)
        && term.get().blind(redirects.anyHost(now), now)) {
      leadership.stepAside(now);
    }
    term.ifPresent(
        r -> r.tick(catalogue.types(), leadership.mayAnswer(now) && informed(), now, wall));
    if (term.isPresent() && !nextDigest.isAfter(now)) {
      nextDigest = now.plus(DIGEST_EVERY);
      digest(term.get());
    }
    if (term.isPresent() && !nextSummary.isAfter(now)) {
      nextSummary = now.plus(SUMMARY_EVERY);
      LOG.info("{}", term.get().summary());
    }
  }

  /**
   * Whether the store has been read since this process last stood still. Before that it may have
   * been succeeded without knowing, and places, rents and returns nothing; where the store can't be
   * read either, it goes on after a moment like any leader that has lost the store.
   */
  private boolean informed() {
    return !awake.isAfter(view.lastConfirmed()) || now.past(awake, INFORMED_WITHIN);
  }

  private void digest(LeaderTerm current) {
    Map<JobId, PeerMessage.Counts> counts = current.counts();
    userRequests.counts(counts);
    PeerMessage message =
        new PeerMessage.Digest(
            settings.node(), current.token(), view.isFresh(now), counts, current.suspects());
    for (NodeId peer : settings.peers()) {
      outbox.call(
          new Request.Tell(peer, message),
          answer -> {
            if (answer instanceof Answer.Told told
                && told.message() instanceof PeerMessage.Acknowledged acknowledged) {
              redirects.heard(acknowledged.from(), now);
              term.filter(r -> r == current && acknowledged.settled())
                  .ifPresent(r -> r.peerSettled(acknowledged.from(), now));
            }
          });
    }
  }

  private Response report(Report report, boolean cutOff) {
    if (term.isPresent() && term.get().above(report)) {
      // Whoever was granted it, this worker drops what is said under this node's token. If nobody
      // was, it stays silent for this leader, and its machine is lost like others that are.
      leadership.shownByWorker(report.token(), now);
      return elsewhere();
    }
    if (term.isPresent() && leadership.mayAnswer(now)) {
      if (!term.get().readsReports()) {
        // The lease is renewed all the same, so what was withdrawn must end by this answer.
        term.get().answered(report.machine(), now);
        return new Response.Orders(term.get().token(), halts.of(report));
      }
      Optional<Response.Orders> orders = term.get().report(report, cutOff, now);
      return orders.isPresent()
          ? orders.get()
          : Response.unavailable("no use can be made of the report", SOON);
    }
    return elsewhere();
  }

  /**
   * Sends a worker to the leader, if this node knows of one. What it read of the store long ago
   * tells nothing: a worker would go to and fro between this node and one that doesn't lead.
   */
  private Response elsewhere() {
    return new Response.Elsewhere(
        forwarding
            .leader(now)
            .or(
                () ->
                    view.leader()
                        .filter(leader -> !now.past(view.lastConfirmed(), NAMES_LEADER_FOR))
                        .map(leader -> leader.record().node()))
            .filter(node -> !node.equals(settings.node())));
  }

  /**
   * Serves a user, through the leader if this node alone has lost the state service. In an outage
   * the leader has lost it as well, and the user is sent away at once.
   */
  private void serve(Event.UserAsks asks) {
    questions.asked(asks.exchange(), asks.request(), now);
    userRequests.serve(
        asks.request(),
        response -> {
          boolean unavailable = response instanceof Response.Problem p && p.status() == 503;
          if (unavailable && servingPeer().isPresent()) {
            forward(asks, response);
          } else {
            answer(asks, response);
          }
        });
  }

  private void answer(Event.UserAsks asks, Response response) {
    if (questions.answered(asks.exchange())) {
      outbox.respond(asks.exchange(), response);
    }
  }

  private void forward(Event.UserAsks asks, Response otherwise) {
    NodeId peer = servingPeer().orElseThrow();
    outbox.call(
        new Request.Tell(peer, new PeerMessage.Forward(asks.request())),
        answer -> {
          Optional<Response> forwarded = forwardedResponse(answer);
          LOG.debug(
              "request for job {} forwarded to {}, answered {}; copy of the store at revision {}",
              asks.request().job(),
              peer,
              forwarded,
              view.position());
          answer(
              asks, forwarded.map(told -> userRequests.passOn(told, otherwise)).orElse(otherwise));
        });
  }

  private static Optional<Response> forwardedResponse(Answer answer) {
    return answer instanceof Answer.Told told
            && told.message() instanceof PeerMessage.Forwarded forwarded
        ? Optional.of(forwarded.response())
        : Optional.empty();
  }

  private Optional<NodeId> servingPeer() {
    return now.past(digested, DIGEST_COUNTS_FOR) ? Optional.empty() : digestFrom;
  }

  private Response health() {
    boolean reaches =
        !now.past(view.lastConfirmed(), READY_WITHOUT_CONTACT) || servingPeer().isPresent();
    boolean serves = view.isLoaded() && userRequests.knowsTypes() && reaches;
    return serves ? new Response.Ready() : Response.unavailable("not ready", SOON);
  }

  private void peer(Event.PeerSays says) {
    if (says.message() instanceof PeerMessage.Digest digest
        && view.isImplausible(digest.token(), now)) {
      // Taken for true it would keep this node from leading, and from hearing who does.
      if (strangeDigests++ == 0) {
        LOG.error("digest of {}: nobody was granted token {}", digest.from(), digest.token());
      }
      outbox.respond(says.exchange(), Response.refusal(400, "no such token"));
    } else if (says.message() instanceof PeerMessage.Digest digest) {
      leadership.tokenSeen(digest.token(), now);
      relay.heard(digest.token(), now);
      if (view.leader().filter(l -> l.token().compareTo(digest.token()) > 0).isEmpty()) {
        // Not one that was succeeded and does not know.
        forwarding.heard(digest.from(), digest.token(), now);
      }
      if (term.isEmpty()) {
        userRequests.counts(digest.counts());
        suspects = digest.suspects();
        if (digest.serves()) {
          digestFrom = Optional.of(digest.from());
          digested = now;
        }
      }
      outbox.respond(
          says.exchange(),
          new Response.ToPeer(
              new PeerMessage.Acknowledged(settings.node(), !leadership.holdsToken())));
    } else if (says.message() instanceof PeerMessage.Probe) {
      outbox.respond(
          says.exchange(),
          new Response.ToPeer(new PeerMessage.Acknowledged(settings.node(), false)));
    } else if (says.message() instanceof PeerMessage.Carry carry) {
      boolean cutOff = !redirects.lodges(carry.report().machine(), now);
      Response response = report(carry.report(), cutOff);
      outbox.respond(
          says.exchange(),
          new Response.ToPeer(
              response instanceof Response.Orders orders
                  ? new PeerMessage.Carried(Optional.of(orders.token()), orders.orders())
                  : new PeerMessage.Carried(Optional.empty(), List.of())));
    } else if (says.message() instanceof PeerMessage.Forward forward) {
      userRequests.serve(
          forward.request(),
          response ->
              outbox.respond(
                  says.exchange(), new Response.ToPeer(new PeerMessage.Forwarded(response))));
    } else {
      outbox.respond(says.exchange(), Response.refusal(400, "unexpected message"));
    }
  }
}
