package org.oakwalk.wire;

/** Thrown if a message or a stored value does not have the expected form. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String reason) {
    super(reason);
  }
}
