package org.oakwalk.daemon;

/**
 * Thrown when a settings file is missing, unreadable or invalid. The message names the file and, if
 * possible, the field.
 */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message for the operator. */
  public InvalidSettingsException(String message) {
    super(message);
  }
}
