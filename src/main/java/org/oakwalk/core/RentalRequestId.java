package org.oakwalk.core;

/** Name of a rental request; never used twice. */
public record RentalRequestId(String value) {
  public static RentalRequestId of(Token token, long counter) {
    return new RentalRequestId("r-" + token.value() + "-" + counter);
  }

  @Override
  public String toString() {
    return value;
  }
}
