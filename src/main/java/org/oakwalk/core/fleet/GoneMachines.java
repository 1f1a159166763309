package org.oakwalk.core.fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import org.oakwalk.core.MachineId;

/**
 * Machines that the cloud has confirmed as gone, so that late reports and outdated lists of them
 * are ignored. Only the last ones are remembered: messages and lists are minutes late at most, and
 * a leader that serves for months would otherwise remember every spot machine there ever was.
 */
public final class GoneMachines {
  /** Some 1.5 MB, and hours even if a thousand machines go in each. */
  static final int MAX_REMEMBERED = 10_000;

  private final Set<MachineId> ids = new LinkedHashSet<>();

  /** Adds a machine, and forgets the one that has been gone for longest if there are too many. */
  public void add(MachineId id) {
    ids.add(id);
    if (ids.size() > MAX_REMEMBERED) {
      ids.remove(ids.iterator().next());
    }
  }

  /** Whether a machine is known to be gone. */
  public boolean contains(MachineId id) {
    return ids.contains(id);
  }
}
