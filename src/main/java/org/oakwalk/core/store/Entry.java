package org.oakwalk.core.store;

import org.oakwalk.core.Revision;

/** A key with its value and version. */
public record Entry(String key, StoredValue value, Revision revision) {}
