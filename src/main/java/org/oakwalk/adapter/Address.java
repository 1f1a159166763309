package org.oakwalk.adapter;

/** An IP address or host name with a port. */
public record Address(String host, int port) {

  /**
   * Parses {@code host:port}.
   *
   * @throws IllegalArgumentException if the text has another form or the port is out of range
   */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    if (port < 0 || port > 65535) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return new Address(text.substring(0, colon), port);
  }
}
