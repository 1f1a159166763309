package org.oakwalk.wire;

/** An HTTP request to send; the body is null for a request without one. */
public record OutgoingRequest(String method, String path, byte[] body) {}
