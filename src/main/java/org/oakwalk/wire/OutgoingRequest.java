package org.oakwalk.wire;

/** A request as it goes out; the body is null if there is none. */
public record OutgoingRequest(String method, String path, byte[] body) {}
