package org.oakwalk.daemon;

/** A settings file that can't be used; the message names the file and the field. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidSettingsException(String message) {
    super(message);
  }
}
