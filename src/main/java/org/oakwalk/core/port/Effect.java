package org.oakwalk.core.port;

import org.oakwalk.core.CallId;
import org.oakwalk.core.ExchangeId;

/** Something the core wants done outside. */
public sealed interface Effect {

  /** Answer an exchange. */
  record Respond(ExchangeId exchange, Response response) implements Effect {}

  /** Send a request; its answer is to come back under the same id. */
  record Call(CallId call, Request request) implements Effect {}
}
