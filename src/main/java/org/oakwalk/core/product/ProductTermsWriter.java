package org.oakwalk.core.product;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
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
 * Stores the product terms and provides those that are active, which are always the stored ones.
 * Terms from this node's file are stored first if their version is higher, so that no leader acts
 * on terms that its successor may not know.
 */
public final class ProductTermsWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ProductTermsWriter.class);
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.seconds(2);

  private final Outbox outbox;
  private final StoreView view;
  private final Guard leader;
  private final ProductTerms declared;
  private boolean writing;
  private boolean warned;
  private MonotonicTime nextAttemptAt = new MonotonicTime(Long.MIN_VALUE / 2);

  /**
   * Creates a writer.
   *
   * @param leader guard that lets a write succeed only while this node is the leader
   * @param declared the terms from this node's file
   */
  public ProductTermsWriter(Outbox outbox, StoreView view, Guard leader, ProductTerms declared) {
    this.outbox = outbox;
    this.view = view;
    this.leader = leader;
    this.declared = declared;
  }

  /** Returns the stored terms; none until terms have been stored. */
  public ProductTerms activeTerms() {
    return view.productTerms().terms();
  }

  /**
   * Returns whether no terms are declared in the file or stored, so that there is nothing to do.
   * Stored terms that are unreadable count as stored.
   */
  public boolean isUnused() {
    return declared.isUndeclared()
        && activeTerms().isUndeclared()
        && !view.productTerms().isUnreadable();
  }

  /**
   * Returns whether the stored terms are at least as new as those in this node's file, so that this
   * node will not replace the active terms.
   */
  public boolean isUpToDate() {
    return activeTerms().version() >= declared.version();
  }

  /** Stores the terms from this node's file if their version is higher than the stored one. */
  public void tick(MonotonicTime now) {
    if (view.productTerms().isUnreadable()) {
      warnOnce(
          "product terms: stored terms are unreadable; "
              + "batch deadlines, headroom and exchanges are disabled");
    } else if (declared.isUndeclared() || writing || nextAttemptAt.isAfter(now)) {
      return;
    } else if (activeTerms().version() < declared.version()) {
      store(now);
    } else if (!activeTerms().equals(declared)) {
      warnOnce(
          "product terms: version "
              + activeTerms().version()
              + " is stored and active, the file has different terms with version "
              + declared.version());
    }
  }

  private void warnOnce(String message) {
    if (!warned) {
      warned = true;
      LOG.warn("{}", message);
    }
  }

  private void store(MonotonicTime now) {
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
            Request.Urgency.ROUTINE),
        answer -> {
          writing = false;
          if (answer instanceof Answer.Committed) {
            LOG.info("product terms version {} stored", declared.version());
          }
        });
  }
}
