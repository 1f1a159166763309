package org.oakwalk.core.shared;

import java.util.List;

/**
 * A named record that the leader keeps in the store for its successors. Each revision becomes
 * visible atomically. Callers request writes and may rely only on what is confirmed as stored.
 *
 * @param <R> type of its rows
 */
public interface SharedRecord<R extends SharedRow> {

  /** Returns true once the record has been read; before that, callers must not rely on it. */
  boolean isLoaded();

  /**
   * Returns true if the stored record is damaged or of a newer format. The feature that depends on
   * it is then disabled, and the stored record is not overwritten.
   */
  boolean isUnusable();

  /** The rows last confirmed as stored; empty if there are none. */
  List<R> storedRows();

  /**
   * The revision of the record last confirmed as stored, counted per record; zero if there is none.
   */
  long revision();

  /**
   * Requests that these rows replace all rows of the record. An earlier request whose write has not
   * begun is dropped.
   *
   * @return the revision that will hold the rows: once {@link #revision()} has reached it, these
   *     rows or those of a later request are stored
   */
  long requestWrite(List<R> rows);

  /** Returns true if no requested write is outstanding. */
  boolean isUpToDate();
}
