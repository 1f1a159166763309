package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.Span;

/** The most that was asked for of late, by name; it fades by half again and again. */
final class Peaks {
  private final double fade;
  private final Map<String, Double> values = new HashMap<>();

  Peaks(Span every, double halvesInSeconds) {
    this.fade = Math.pow(0.5, every.asSeconds() / halvesInSeconds);
  }

  /** Takes over what is asked for now; what remains of earlier peaks is at most {@code held}. */
  double raise(String name, double asked, double held) {
    double kept = Math.min(values.getOrDefault(name, 0.0), held);
    double peak = Math.max(asked, kept * fade);
    values.put(name, peak);
    return peak;
  }
}
