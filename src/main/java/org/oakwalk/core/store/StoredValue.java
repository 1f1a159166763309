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

/** A value stored in the state service. */
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

  /**
   * The elected leader.
   *
   * @param zone the zone in which the node runs
   * @param incarnation differs each time the node starts
   */
  record LeaderRecord(NodeId node, String zone, String incarnation) implements StoredValue {}

  /** Allows followers to renew workers' leases in a zone, under the leader's token, for a while. */
  record RelayRecord(String zone, Token token) implements StoredValue {}

  /** The cloud's machine types, as last read by a leader. */
  record MachineTypesRecord(Map<String, MachineType> types) implements StoredValue {}

  /**
   * A drain plan in force.
   *
   * @param newestMachine the newest machine when the plan was stored
   * @param selectedMachines number of machines that the plan selected at that time
   */
  record DrainRecord(DrainPlan plan, MachineId newestMachine, int selectedMachines)
      implements StoredValue {}

  /**
   * Task stops granted under one disruption budget.
   *
   * @param notRestarted upper bound on the tasks that were stopped and not yet running again when
   *     this was written
   * @param grantedByInterval number of granted stops by time interval; intervals are numbered from
   *     the epoch
   */
  record StopCounts(int notRestarted, Map<Long, Integer> grantedByInterval) {
    public static final StopCounts NONE = new StopCounts(0, Map.of());
  }

  /** Recently granted task stops by budget name. */
  record StopsRecord(Map<String, StopCounts> byBudget) implements StoredValue {}

  /** The terms in force that operators declare for dawns, headroom and exchanges. */
  record ProductRecord(ProductTerms terms) implements StoredValue {}

  /**
   * Head of a shared record, which names the revision in force.
   *
   * @param revision number of the record's revision, counted per record
   * @param slot which of the two sets of part keys holds its parts
   * @param rows all rows if there are no parts, otherwise empty
   */
  record SharedHead(long revision, int slot, int partCount, List<SharedRow> rows)
      implements StoredValue {}

  /** A part of one revision of a shared record. */
  record SharedPart(long revision, List<SharedRow> rows) implements StoredValue {}

  /** A value that this version of the software can't read, with the reason. */
  record Unreadable(String reason) implements StoredValue {}

  /** Finished tasks of one chunk of a job, encoded by {@link DoneBitmap}. */
  record DoneChunk(String bits) implements StoredValue {}

  /** A machine that may have been sent commands. */
  record MachineRecord(MachineId id, String address, String type, String zone, boolean spot)
      implements StoredValue {}

  /** Machines that may have been sent commands, stored under one key to save changes. */
  record MachineListRecord(List<MachineRecord> machines) implements StoredValue {}
}
