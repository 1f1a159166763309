package org.oakwalk.core.shared;

import java.util.List;

/**
 * One named record that the leader keeps in the store, of which a revision becomes visible whole or
 * not at all. Callers say what should be stored; what is stored tells them what they may rely on.
 *
 * @param <R> its rows
 */
public interface SharedRecord<R extends SharedRow> {

  /** Whether it has been read; until then nothing may rest on it. */
  boolean isLoaded();

  /**
   * Whether what is stored can't be made use of, being damaged or of a later form; its feature is
   * off then, and nothing is written over it.
   */
  boolean isUnusable();

  /** The rows that are surely stored, as last confirmed; empty if there are none. */
  List<R> storedRows();

  /** The revision that is surely stored; zero if none is. */
  long revision();

  /**
   * Wants these rows stored in place of all others. What was wanted before and is not under way yet
   * is left out.
   *
   * @return the revision that will hold them: once {@link #revision()} is at least that, they were
   *     stored, or later ones were
   */
  long requestWrite(List<R> rows);

  /** Whether nothing wanted is still to be stored. */
  boolean isUpToDate();
}
