package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.Span;

/** The most that was asked for of late, by name; it fades by half again and again. */
final class DecayingPeaks {
  private final double decayFactor;
  private final Map<String, Double> values = new HashMap<>();

  DecayingPeaks(Span every, double halvesInSeconds) {
    this.decayFactor = Math.pow(0.5, every.asSeconds() / halvesInSeconds);
  }

  /** Takes over what is asked for now; what remains of earlier peaks is at most {@code held}. */
  double update(String name, double asked, double held) {
    double kept = Math.min(values.getOrDefault(name, 0.0), held);
    double peak = Math.max(asked, kept * decayFactor);
    values.put(name, peak);
    return peak;
  }
}
