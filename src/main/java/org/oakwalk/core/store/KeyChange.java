package org.oakwalk.core.store;

import java.util.Optional;
import org.oakwalk.core.Revision;

/**
 * A change of one key, as a watch reports it.
 *
 * @param value the new value; empty if the key was removed
 */
public record KeyChange(String key, Optional<StoredValue> value, Revision revision) {}
