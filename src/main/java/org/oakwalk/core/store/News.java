package org.oakwalk.core.store;

import java.util.Optional;
import org.oakwalk.core.Revision;

/** A change of one key; without a value it was removed. */
public record News(String key, Optional<StoredValue> value, Revision stamp) {}
