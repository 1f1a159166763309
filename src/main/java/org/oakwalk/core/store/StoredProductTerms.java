package org.oakwalk.core.store;

import java.util.Optional;
import org.oakwalk.core.Revision;
import org.oakwalk.core.product.ProductTerms;

/** The terms of dawns, headroom and exchanges in this node's copy of the store. */
public final class StoredProductTerms {
  private ProductTerms terms = ProductTerms.NONE;
  private Revision revision = Revision.NONE;
  private boolean unreadable;

  void put(Optional<StoredValue> value, Revision storedAt) {
    revision = value.isPresent() ? storedAt : Revision.NONE;
    unreadable = value.filter(StoredValue.Unreadable.class::isInstance).isPresent();
    terms =
        value
            .filter(StoredValue.ProductRecord.class::isInstance)
            .map(record -> ((StoredValue.ProductRecord) record).terms())
            .orElse(ProductTerms.NONE);
  }

  /** The terms in force; {@link ProductTerms#NONE} if none are stored or they can't be read. */
  public ProductTerms terms() {
    return terms;
  }

  /** Revision at which they were stored; {@link Revision#NONE} if none are stored. */
  public Revision revision() {
    return revision;
  }

  /** Returns true if terms are stored but can't be read. */
  public boolean isUnreadable() {
    return unreadable;
  }
}
