package org.oakwalk.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.exchange.CapacityTransfer;
import org.oakwalk.core.exchange.TransferId;
import org.oakwalk.core.job.Resources;

/** Encodes and decodes stored capacity transfers from one job to another. */
final class CapacityTransferCodec implements SharedRecordCodec.RowCodec<CapacityTransfer> {
  @Override
  public String typeTag() {
    return "take";
  }

  @Override
  public Class<CapacityTransfer> rowClass() {
    return CapacityTransfer.class;
  }

  @Override
  public void encode(CapacityTransfer transfer, ObjectNode map) {
    map.put("token", transfer.id().token().value());
    map.put("number", transfer.id().number());
    map.put("state", transfer.state().name());
    map.put("exchange", transfer.exchangeName());
    map.put("giver", transfer.giver().value());
    map.put("team", transfer.giverTeam());
    map.put("tasks", transfer.stoppedTasks());
    map.put("taker", transfer.taker().value());
    map.put("cpus", transfer.resources().cpus());
    map.put("gpus", transfer.resources().gpus());
    map.put("memory_gb", transfer.resources().memoryGb());
    map.put("machine", transfer.machine().value());
    map.put("level", transfer.demandLevel());
    map.put("since", transfer.since().millis());
  }

  @Override
  public CapacityTransfer decode(FieldReader map) throws MalformedMessageException {
    return new CapacityTransfer(
        new TransferId(new Token(map.count("token")), map.count("number")),
        state(map.text("state")),
        map.shortText("exchange"),
        new JobId(map.shortText("giver")),
        map.shortText("team"),
        (int) map.count("tasks", 0, Integer.MAX_VALUE),
        new JobId(map.shortText("taker")),
        Resources.ofTask(map.amount("cpus"), map.amount("gpus"), map.amount("memory_gb")),
        new MachineId(map.shortText("machine")),
        (int) map.count("level", 0, Integer.MAX_VALUE),
        new WallTime(map.count("since")));
  }

  private static CapacityTransfer.State state(String name) throws MalformedMessageException {
    return Arrays.stream(CapacityTransfer.State.values())
        .filter(state -> state.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new MalformedMessageException("unknown state " + name));
  }
}
