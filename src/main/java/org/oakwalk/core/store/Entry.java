package org.oakwalk.core.store;

import org.oakwalk.core.Revision;

/**
 * A stored key and its value.
 *
 * @param revision at which the key was last written
 */
public record Entry(String key, StoredValue value, Revision revision) {}
