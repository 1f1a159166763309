package org.oakwalk.wire;

import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Requests of the core as HTTP messages, and HTTP answers as answers to the core. */
public final class Outgoing {
  private Outgoing() {}

  public static HttpMessage encode(Request request) {
    if (request instanceof Request.StateServiceRequest state) {
      return StateCodec.encode(state);
    }
    if (request instanceof Request.CloudRequest cloud) {
      return CloudCodec.encode(cloud);
    }
    if (request instanceof Request.Command command) {
      return WorkerCodec.command(command);
    }
    return new HttpMessage(
        "POST", PeerCodec.PATH, PeerCodec.encode(((Request.SendToPeer) request).message()));
  }

  public static Answer decode(Request request, int status, byte[] body) throws BadMessage {
    if (request instanceof Request.StateServiceRequest state) {
      return StateCodec.decode(state, status, body);
    }
    if (request instanceof Request.CloudRequest cloud) {
      return CloudCodec.decode(cloud, status, body);
    }
    if (request instanceof Request.Command) {
      return WorkerCodec.commanded(status, body);
    }
    return PeerCodec.answer(status, body);
  }
}
