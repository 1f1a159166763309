package org.oakwalk.core.store;

import org.oakwalk.core.Revision;

/** Version that a key must have for a transaction to apply. */
public record Guard(String key, Revision revision) {}
