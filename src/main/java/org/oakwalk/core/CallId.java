package org.oakwalk.core;

/** A request that this node sent out and whose answer comes back as an event. */
public record CallId(long value) {}
