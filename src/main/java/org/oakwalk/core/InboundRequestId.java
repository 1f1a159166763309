package org.oakwalk.core;

/** Id of a request that this node received and answers exactly once. */
public record InboundRequestId(long value) {}
