package org.oakwalk.wire;

import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Encodes requests of the core as HTTP requests and decodes HTTP responses to answers. */
public final class RequestCodec {
  private RequestCodec() {}

  /** Encodes a request in the protocol of the service that it is addressed to. */
  public static OutgoingRequest encode(Request request) {
    if (request instanceof Request.StateServiceRequest state) {
      return StateServiceCodec.encode(state);
    }
    if (request instanceof Request.CloudRequest cloud) {
      return CloudCodec.encode(cloud);
    }
    if (request instanceof Request.Command command) {
      return WorkerCodec.command(command);
    }
    return new OutgoingRequest(
        "POST", PeerCodec.PEER_PATH, PeerCodec.encode(((Request.SendToPeer) request).message()));
  }

  /** Decodes the HTTP response to this request. */
  public static Answer decode(Request request, int status, byte[] body)
      throws MalformedMessageException {
    if (request instanceof Request.StateServiceRequest state) {
      return StateServiceCodec.decode(state, status, body);
    }
    if (request instanceof Request.CloudRequest cloud) {
      return CloudCodec.decode(cloud, status, body);
    }
    if (request instanceof Request.Command) {
      return WorkerCodec.commandResult(status, body);
    }
    return PeerCodec.answer(status, body);
  }
}
