package org.oakwalk.core.port;

import java.util.List;
import java.util.Map;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Rental;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.KeyChange;

/** The outcome of a {@link Request}. */
public sealed interface Answer {

  /** No usable answer arrived: the request may have been executed, or may still be. */
  record OutcomeUnknown(String reason) implements Answer {}

  /** The request was rejected, and certainly not executed. */
  record Refused(int status, String reason) implements Answer {}

  /** A page of keys, and the store revision at which it was read. */
  record Page(List<Entry> entries, boolean hasMore, Revision revision) implements Answer {}

  /** Changes up to and including the revision. */
  record Changes(Revision revision, List<KeyChange> changes) implements Answer {}

  /** The transaction was applied at this revision. */
  record Committed(Revision revision) implements Answer {}

  /** The transaction was not applied, because the guards of these keys did not hold. */
  record Conflict(List<String> failedKeys) implements Answer {}

  /** A lease was granted. */
  record LeaseGranted(LeaseId lease) implements Answer {}

  /** The request was executed and returns no data. */
  record Ok() implements Answer {}

  /** The cloud's machine types. */
  record Catalog(Map<String, MachineType> types) implements Answer {}

  /** A page of the cloud's machine list. */
  record Rentals(List<Rental> rentals, boolean hasMore) implements Answer {}

  /** Machines that were rented. */
  record Rented(List<MachineId> machines) implements Answer {}

  /** A worker's answer to orders: its report, and whether it executed them. */
  record CommandResult(boolean executed, Report report) implements Answer {}

  /** Another controller's answer. */
  record PeerReply(PeerMessage message) implements Answer {}
}
