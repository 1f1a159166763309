package org.oakwalk.core;

/** Name of a lease at the state service. */
public record HoldId(long value) {}
