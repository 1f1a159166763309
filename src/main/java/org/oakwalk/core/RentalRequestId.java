package org.oakwalk.core;

/** Unique id of a rental request to the cloud; never reused. */
public record RentalRequestId(String value) {
  /** The id of request number {@code counter} under a token. */
  public static RentalRequestId of(Token token, long counter) {
    return new RentalRequestId("r-" + token.value() + "-" + counter);
  }

  @Override
  public String toString() {
    return value;
  }
}
