package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoredValue;

/**
 * Keeps the stored list of machines that may have been sent commands: a machine is written before
 * its first run and removed once it is surely gone, so that the next leader knows whom to ask.
 */
public final class Registry {
  private static final Span RETRY = Span.millis(500);

  private final Outbox outbox;
  private final Fleet fleet;
  private final Guard guard;
  private final int changesPerCommit;
  private final Set<MachineId> stored = new HashSet<>();
  private final List<MachineId> leaving = new ArrayList<>();
  private boolean writing;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  public Registry(Outbox outbox, Fleet fleet, Guard guard, int changesPerCommit) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.guard = guard;
    this.changesPerCommit = changesPerCommit;
  }

  /** The machine was found in the store. */
  public void found(MachineId id) {
    stored.add(id);
  }

  /** The machine is surely gone. */
  public void gone(MachineId id) {
    if (stored.contains(id)) {
      leaving.add(id);
    }
  }

  public void tick(Moment now) {
    if (writing || nextTry.isAfter(now)) {
      return;
    }
    List<Change> changes = new ArrayList<>();
    List<Machine> entering = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.state() == Machine.State.ENROLLING && changes.size() < changesPerCommit) {
        entering.add(machine);
        changes.add(
            new Change.Put(
                Keys.machine(machine.id()),
                new StoredValue.MachineRecord(
                    machine.id(),
                    machine.address(),
                    machine.type().name(),
                    machine.zone(),
                    machine.spot()),
                Optional.empty()));
      }
    }
    List<MachineId> removed = new ArrayList<>();
    for (MachineId id : leaving) {
      if (changes.size() < changesPerCommit) {
        removed.add(id);
        changes.add(new Change.Remove(Keys.machine(id)));
      }
    }
    if (changes.isEmpty()) {
      return;
    }
    writing = true;
    outbox.call(
        new Request.Commit(List.of(guard), changes, Request.Urgency.RESULT),
        answer -> {
          writing = false;
          if (answer instanceof Answer.Committed) {
            for (Machine machine : entering) {
              stored.add(machine.id());
              if (machine.state() == Machine.State.ENROLLING) {
                fleet.up(machine);
              }
            }
            stored.removeAll(removed);
            leaving.removeAll(removed);
          } else {
            // Not known to be stored, so the machines take no tasks yet.
            nextTry = now.plus(RETRY);
            entering.forEach(machine -> stored.add(machine.id()));
          }
        });
  }
}
