package org.oakwalk.core.exchange;

import org.oakwalk.core.Token;

/**
 * Identifies a transfer by the fencing token of the leader that intended it and a sequence number.
 * Ids are never reused, since no two leaders share a token.
 */
public record TransferId(Token token, long number) implements Comparable<TransferId> {
  @Override
  public int compareTo(TransferId other) {
    int byToken = token.compareTo(other.token);
    return byToken != 0 ? byToken : Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return token + "-" + number;
  }
}
