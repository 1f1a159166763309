package org.oakwalk.core;

/** Name of a lease at the state service. */
public record LeaseId(long value) {}
