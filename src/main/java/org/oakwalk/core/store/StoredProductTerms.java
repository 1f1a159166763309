package org.oakwalk.core.store;

import java.util.Optional;
import org.oakwalk.core.Revision;
import org.oakwalk.core.product.ProductTerms;

/** The copy of the terms of dawns, headroom and exchanges. */
public final class StoredProductTerms {
  private ProductTerms terms = ProductTerms.NONE;
  private Revision revision = Revision.NONE;
  private boolean unreadable;

  void put(Optional<StoredValue> value, Revision at) {
    revision = value.isPresent() ? at : Revision.NONE;
    unreadable = value.filter(StoredValue.Unreadable.class::isInstance).isPresent();
    terms =
        value
            .filter(StoredValue.ProductRecord.class::isInstance)
            .map(record -> ((StoredValue.ProductRecord) record).terms())
            .orElse(ProductTerms.NONE);
  }

  /** The terms in force; none if nothing is stored or it can't be read. */
  public ProductTerms terms() {
    return terms;
  }

  /** When they were stored. */
  public Revision revision() {
    return revision;
  }

  /** Whether what is stored can't be read. */
  public boolean isUnreadable() {
    return unreadable;
  }
}
