package org.oakwalk.core.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/** Predicts which images are in a machine's cache: the most recently used ones that fit. */
final class ImageCache {
  private final double cacheGb;
  private final Map<String, Double> imageSizesGb = new LinkedHashMap<>(16, 0.75f, true);

  ImageCache(double cacheGb) {
    this.cacheGb = cacheGb;
  }

  boolean contains(String image) {
    return imageSizesGb.containsKey(image);
  }

  /** Whether fetching an image of this size would evict {@code other}. */
  boolean wouldEvict(String other, double gb) {
    double sum = gb;
    for (double size : imageSizesGb.values()) {
      sum += size;
    }
    for (Map.Entry<String, Double> entry : imageSizesGb.entrySet()) {
      if (sum <= cacheGb) {
        return false;
      }
      if (entry.getKey().equals(other)) {
        return true;
      }
      sum -= entry.getValue();
    }
    return false;
  }

  void use(String image, double gb) {
    imageSizesGb.put(image, gb);
    double sum = imageSizesGb.values().stream().mapToDouble(Double::doubleValue).sum();
    var oldest = imageSizesGb.entrySet().iterator();
    while (sum > cacheGb && imageSizesGb.size() > 1) {
      sum -= oldest.next().getValue();
      oldest.remove();
    }
  }
}
