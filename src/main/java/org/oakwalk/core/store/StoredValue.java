package org.oakwalk.core.store;

import java.util.Map;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Token;
import org.oakwalk.core.fleet.MachineType;

/** A value that this project keeps in the state service. */
public sealed interface StoredValue
    permits JobRecord,
        StoredValue.LeaderRecord,
        StoredValue.RelayRecord,
        StoredValue.TypesRecord,
        StoredValue.DoneChunk,
        StoredValue.MachineRecord,
        StoredValue.Unreadable {

  /** Who leads, and from which zone. The incarnation tells two lives of one node apart. */
  record LeaderRecord(NodeId node, String zone, String incarnation) implements StoredValue {}

  /** Followers may keep workers' leases alive in a zone under a leader's token for a while. */
  record RelayRecord(String zone, Token token) implements StoredValue {}

  /** The cloud's machine types as a leader read them. */
  record TypesRecord(Map<String, MachineType> types) implements StoredValue {}

  /** A value that this version can't read, and why. */
  record Unreadable(String reason) implements StoredValue {}

  /** Finished tasks of a part of a job, one bit each, as hexadecimal text. */
  record DoneChunk(String bits) implements StoredValue {}

  /** A machine that may have been sent commands. */
  record MachineRecord(MachineId id, String address, String type, String zone, boolean spot)
      implements StoredValue {}
}
