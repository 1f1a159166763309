package org.oakwalk.core.store;

import java.util.Optional;
import org.oakwalk.core.LeaseId;

/** One change in a transaction. */
public sealed interface Change {
  /** Writes a key, bound to a lease if one is given. */
  record Put(String key, StoredValue value, Optional<LeaseId> hold) implements Change {}

  /** Removes a key. */
  record Remove(String key) implements Change {}
}
