package org.oakwalk.core.store;

import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;

/** A value that this project keeps in the state service. */
public sealed interface StoredValue
    permits JobRecord, StoredValue.LeaderRecord, StoredValue.DoneChunk, StoredValue.MachineRecord {

  /** Who leads. The incarnation tells two lives of one node apart. */
  record LeaderRecord(NodeId node, String incarnation) implements StoredValue {}

  /** Finished tasks of a part of a job, one bit each, as hexadecimal text. */
  record DoneChunk(String bits) implements StoredValue {}

  /** A machine that may have been sent commands. */
  record MachineRecord(MachineId id, String address, String type, String zone, boolean spot)
      implements StoredValue {}
}
