package org.oakwalk.core.port;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.CallId;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.Span;

/** Collects effects and remembers who waits for which answer. */
public final class Outbox {
  private final Map<CallId, Consumer<Answer>> pendingCalls = new HashMap<>();
  private List<Effect> effects = new ArrayList<>();
  private long lastCallId;

  /** Sends a request and hands its answer to {@code then}. */
  public void call(Request request, Consumer<Answer> then) {
    CallId id = new CallId(++lastCallId);
    pendingCalls.put(id, then);
    effects.add(new Effect.Call(id, request));
  }

  public void respond(InboundRequestId exchange, Response response) {
    effects.add(new Effect.Respond(exchange, response));
  }

  /** Keeps commands to this address from leaving if they have not left yet. */
  public void cancelCommands(String address) {
    effects.add(new Effect.CancelCommands(address));
  }

  /** Tells the operators how long something took. */
  public void recordDuration(Effect.DurationMetric measure, Span span) {
    effects.add(new Effect.RecordDuration(measure, span));
  }

  /** Delivers an answer; one that nobody waits for is dropped. */
  public void deliverAnswer(CallId call, Answer answer) {
    Consumer<Answer> then = pendingCalls.remove(call);
    if (then != null) {
      then.accept(answer);
    }
  }

  /** Hands over what has been collected. */
  public List<Effect> takeEffects() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
