package org.oakwalk.core.store;

import java.util.Optional;
import org.oakwalk.core.Revision;

/** A change of one key; without a value it was removed. */
public record KeyChange(String key, Optional<StoredValue> value, Revision revision) {}
