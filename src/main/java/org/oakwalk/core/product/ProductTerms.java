package org.oakwalk.core.product;

import java.util.List;

/**
 * What operators declare of dawns, headroom and exchanges. All of it has one version; of two files
 * that differ, such as in the middle of a roll, the higher version counts on every node.
 *
 * @param version zero only if nothing is declared
 */
public record ProductTerms(
    long version,
    List<BatchDeadlineTerms> batchDeadlines,
    List<HeadroomTerms> headrooms,
    List<ExchangeTerms> exchanges) {
  public static final ProductTerms NONE = new ProductTerms(0, List.of(), List.of(), List.of());

  /** Whether nothing was ever declared, so that nothing of it is read, stored or done. */
  public boolean isUndeclared() {
    return version == 0;
  }
}
