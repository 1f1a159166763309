package org.oakwalk.daemon;

/** A settings file that can't be used; the message names the file and the field. */
public final class BadSettings extends Exception {
  private static final long serialVersionUID = 1L;

  public BadSettings(String message) {
    super(message);
  }
}
