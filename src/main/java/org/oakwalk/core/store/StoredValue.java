package org.oakwalk.core.store;

import java.util.List;
import java.util.Map;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Token;
import org.oakwalk.core.drain.DrainPlan;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.core.shared.SharedRow;

/** A value that this project keeps in the state service. */
public sealed interface StoredValue
    permits JobRecord,
        StoredValue.LeaderRecord,
        StoredValue.RelayRecord,
        StoredValue.MachineTypesRecord,
        StoredValue.DoneChunk,
        StoredValue.MachineRecord,
        StoredValue.MachineListRecord,
        StoredValue.DrainRecord,
        StoredValue.StopsRecord,
        StoredValue.ProductRecord,
        StoredValue.SharedHead,
        StoredValue.SharedPart,
        StoredValue.Unreadable {

  /** Who leads, and from which zone. The incarnation tells two lives of one node apart. */
  record LeaderRecord(NodeId node, String zone, String incarnation) implements StoredValue {}

  /** Followers may keep workers' leases alive in a zone under a leader's token for a while. */
  record RelayRecord(String zone, Token token) implements StoredValue {}

  /** The cloud's machine types as a leader read them. */
  record MachineTypesRecord(Map<String, MachineType> types) implements StoredValue {}

  /**
   * A plan in force.
   *
   * @param newest name of the newest machine when it was stored
   * @param selected how many machines it was about then
   */
  record DrainRecord(DrainPlan plan, MachineId newestMachine, int selectedMachines)
      implements StoredValue {}

  /**
   * Stops that were granted under one budget.
   *
   * @param open at most so many tasks were stopped and did not run again when this was written
   * @param byTime granted stops by stretch of time, numbered from the epoch on
   */
  record StopCounts(int notRestarted, Map<Long, Integer> grantedByInterval) {
    public static final StopCounts NONE = new StopCounts(0, Map.of());
  }

  /** Stops that were granted, by the names of their budgets. */
  record StopsRecord(Map<String, StopCounts> byBudget) implements StoredValue {}

  /** What operators declare of dawns, headroom and exchanges, as it is in force. */
  record ProductRecord(ProductTerms terms) implements StoredValue {}

  /**
   * Which revision of a record that leaders keep counts.
   *
   * @param slot where its parts are
   * @param rows all its rows, if there are no parts
   */
  record SharedHead(long revision, int slot, int partCount, List<SharedRow> rows)
      implements StoredValue {}

  /** A part of a revision of such a record. */
  record SharedPart(long revision, List<SharedRow> rows) implements StoredValue {}

  /** A value that this version can't read, and why. */
  record Unreadable(String reason) implements StoredValue {}

  /** Finished tasks of a part of a job, one bit each, as hexadecimal text. */
  record DoneChunk(String bits) implements StoredValue {}

  /** A machine that may have been sent commands. */
  record MachineRecord(MachineId id, String address, String type, String zone, boolean spot)
      implements StoredValue {}

  /** Machines that may have been sent commands and were written together. */
  record MachineListRecord(List<MachineRecord> machines) implements StoredValue {}
}
