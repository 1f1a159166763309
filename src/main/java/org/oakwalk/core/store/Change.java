package org.oakwalk.core.store;

import java.util.Optional;
import org.oakwalk.core.LeaseId;

/** One change of a key in a {@linkplain org.oakwalk.core.port.Request.Commit transaction}. */
public sealed interface Change {
  /** Writes a key; if a lease is given, the key is removed when the lease ends. */
  record Put(String key, StoredValue value, Optional<LeaseId> lease) implements Change {}

  /** Removes a key. */
  record Remove(String key) implements Change {}
}
