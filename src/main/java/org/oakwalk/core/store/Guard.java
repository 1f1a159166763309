package org.oakwalk.core.store;

import org.oakwalk.core.Revision;

/**
 * Precondition of a transaction (compare-and-set): the transaction is applied only if the key was
 * last written at this revision.
 *
 * @param revision the expected revision; {@link Revision#NONE} if the key must not exist
 */
public record Guard(String key, Revision revision) {}
