package org.oakwalk.core;

/** Name of a rental request; never used twice. */
public record AskId(String value) {
  public static AskId of(Token token, long counter) {
    return new AskId("r-" + token.value() + "-" + counter);
  }

  @Override
  public String toString() {
    return value;
  }
}
