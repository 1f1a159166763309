package org.oakwalk.wire;

/** A message that does not have the form it should have. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String reason) {
    super(reason);
  }
}
