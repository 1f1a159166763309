package org.oakwalk.core.product;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The terms in force: those in the store. Those of this node's file are stored first if their
 * version is higher, so that no leader acts on terms that its successor may not know.
 */
public final class ProductTermsWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ProductTermsWriter.class);
  private static final Span RETRY_INTERVAL = Span.seconds(2);

  private final Outbox outbox;
  private final StoreView view;
  private final Guard leader;
  private final ProductTerms declared;
  private boolean writing;
  private boolean warned;
  private Moment nextAttemptAt = new Moment(Long.MIN_VALUE / 2);

  public ProductTermsWriter(Outbox outbox, StoreView view, Guard leader, ProductTerms declared) {
    this.outbox = outbox;
    this.view = view;
    this.leader = leader;
    this.declared = declared;
  }

  /** What is in force; nothing as long as nothing is stored. */
  public ProductTerms activeTerms() {
    return view.productTerms().terms();
  }

  /** Whether there is nothing to follow, now or later. */
  public boolean isUnused() {
    return declared.isUndeclared()
        && activeTerms().isUndeclared()
        && !view.productTerms().isUnreadable();
  }

  /** Whether what this node's file has newly is stored, so that what is in force stays so. */
  public boolean isUpToDate() {
    return activeTerms().version() >= declared.version();
  }

  /** Stores what this node's file has newly. */
  public void tick(Moment now) {
    if (view.productTerms().isUnreadable()) {
      warnOnce(
          "product terms: what is stored can't be read; dawns, headroom and exchanges are off");
    } else if (declared.isUndeclared() || writing || nextAttemptAt.isAfter(now)) {
      return;
    } else if (activeTerms().version() < declared.version()) {
      store(now);
    } else if (!activeTerms().equals(declared)) {
      warnOnce(
          "product terms: version "
              + activeTerms().version()
              + " is stored and counts, the file has another "
              + declared.version());
    }
  }

  private void warnOnce(String line) {
    if (!warned) {
      warned = true;
      LOG.warn("{}", line);
    }
  }

  private void store(Moment now) {
    writing = true;
    nextAttemptAt = now.plus(RETRY_INTERVAL);
    outbox.call(
        new Request.Commit(
            List.of(leader, new Guard(StoreKeys.PRODUCT_TERMS, view.productTerms().revision())),
            List.of(
                new Change.Put(
                    StoreKeys.PRODUCT_TERMS,
                    new StoredValue.ProductRecord(declared),
                    Optional.empty())),
            Request.Urgency.REST),
        answer -> {
          writing = false;
          if (answer instanceof Answer.Committed) {
            LOG.info("product terms version {} are stored", declared.version());
          }
        });
  }
}
