package org.oakwalk.core.product;

import java.util.List;

/**
 * Batch deadlines, headroom and exchanges as declared by operators, with one version for all of
 * them. If nodes have different files, for example during a rolling update, the highest version
 * applies on every node.
 *
 * @param version the version of the terms; zero only if nothing is declared
 */
public record ProductTerms(
    long version,
    List<BatchDeadlineTerms> batchDeadlines,
    List<HeadroomTerms> headrooms,
    List<ExchangeTerms> exchanges) {
  public static final ProductTerms NONE = new ProductTerms(0, List.of(), List.of(), List.of());

  /** Returns whether terms were never declared, so that none are read, stored or applied. */
  public boolean isUndeclared() {
    return version == 0;
  }
}
