package org.oakwalk.core;

/** A request that somebody sent here and that is to be answered once. */
public record InboundRequestId(long value) {}
