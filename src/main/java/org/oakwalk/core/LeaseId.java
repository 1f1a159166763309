package org.oakwalk.core;

/** Id of a lease at the state service. */
public record LeaseId(long value) {}
