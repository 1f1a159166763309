package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.TimeSpan;

/** Recent peak demand by name; peaks decay exponentially. */
final class DecayingPeaks {
  private final double decayFactor;
  private final Map<String, Double> values = new HashMap<>();

  DecayingPeaks(TimeSpan updateInterval, double halfLifeSeconds) {
    this.decayFactor = Math.pow(0.5, updateInterval.asSeconds() / halfLifeSeconds);
  }

  /**
   * Adds the current demand and returns the peak. Before it decays, an earlier peak is limited to
   * {@code held}.
   */
  double update(String name, double demand, double held) {
    double previous = Math.min(values.getOrDefault(name, 0.0), held);
    double peak = Math.max(demand, previous * decayFactor);
    values.put(name, peak);
    return peak;
  }
}
