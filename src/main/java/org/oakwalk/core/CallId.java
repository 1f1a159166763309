package org.oakwalk.core;

/** Id of a request that this node sent; its answer arrives as an event with the same id. */
public record CallId(long value) {}
