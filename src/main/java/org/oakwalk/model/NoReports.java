package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Machines that can't open connections to any controller, while commands still reach them. */
final class NoReports {
  private record Spell(Predicate<String> machines, long end) {}

  private final Timeline time;
  private final List<Spell> spells = new ArrayList<>();

  NoReports(Timeline time) {
    this.time = time;
  }

  /** From now on the reports of these machines are lost for so long. */
  void begin(Predicate<String> machines, double seconds) {
    spells.add(new Spell(machines, time.now() + Math.round(seconds * 1000)));
  }

  /** Whether a report that this machine sends now gets nowhere. */
  boolean lose(String machine) {
    return spells.stream()
        .anyMatch(spell -> spell.end() > time.now() && spell.machines().test(machine));
  }
}
