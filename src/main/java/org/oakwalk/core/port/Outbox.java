package org.oakwalk.core.port;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.CallId;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.TimeSpan;

/** Collects effects, and matches answers to the callbacks of pending calls. */
public final class Outbox {
  private final Map<CallId, Consumer<Answer>> pendingCalls = new HashMap<>();
  private List<Effect> effects = new ArrayList<>();
  private long lastCallId;

  /** Sends a request and passes its answer to the callback. */
  public void call(Request request, Consumer<Answer> callback) {
    CallId id = new CallId(++lastCallId);
    pendingCalls.put(id, callback);
    effects.add(new Effect.Call(id, request));
  }

  /** Answers a received request. */
  public void respond(InboundRequestId requestId, Response response) {
    effects.add(new Effect.Respond(requestId, response));
  }

  /** Cancels commands to this address that have not been sent yet. */
  public void cancelCommands(String address) {
    effects.add(new Effect.CancelCommands(address));
  }

  /** Records a duration for the operators' metrics. */
  public void recordDuration(Effect.DurationMetric metric, TimeSpan span) {
    effects.add(new Effect.RecordDuration(metric, span));
  }

  /** Delivers an answer to its callback; an answer without a pending call is dropped. */
  public void deliverAnswer(CallId call, Answer answer) {
    Consumer<Answer> callback = pendingCalls.remove(call);
    if (callback != null) {
      callback.accept(answer);
    }
  }

  /** Returns the collected effects and clears them. */
  public List<Effect> takeEffects() {
    List<Effect> collected = effects;
    effects = new ArrayList<>();
    return collected;
  }
}
