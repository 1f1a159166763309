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

/** The stored form of takes. */
final class TakeCodec implements SharedCodec.RowCodec<CapacityTransfer> {
  @Override
  public String sort() {
    return "take";
  }

  @Override
  public Class<CapacityTransfer> type() {
    return CapacityTransfer.class;
  }

  @Override
  public void encode(CapacityTransfer take, ObjectNode map) {
    map.put("token", take.id().token().value());
    map.put("number", take.id().number());
    map.put("state", take.state().name());
    map.put("exchange", take.exchangeName());
    map.put("giver", take.giver().value());
    map.put("team", take.giverTeam());
    map.put("tasks", take.stoppedTasks());
    map.put("taker", take.taker().value());
    map.put("cpus", take.resources().cpus());
    map.put("gpus", take.resources().gpus());
    map.put("memory_gb", take.resources().memoryGb());
    map.put("machine", take.machine().value());
    map.put("level", take.demandLevel());
    map.put("since", take.since().millis());
  }

  @Override
  public CapacityTransfer decode(Fields map) throws BadMessage {
    return new CapacityTransfer(
        new TransferId(new Token(map.count("token")), map.count("number")),
        state(map.text("state")),
        map.shortText("exchange"),
        new JobId(map.shortText("giver")),
        map.shortText("team"),
        (int) map.count("tasks", 0, Integer.MAX_VALUE),
        new JobId(map.shortText("taker")),
        new Resources(map.amount("cpus"), map.amount("gpus"), map.amount("memory_gb")),
        new MachineId(map.shortText("machine")),
        (int) map.count("level", 0, Integer.MAX_VALUE),
        new WallTime(map.count("since")));
  }

  private static CapacityTransfer.State state(String name) throws BadMessage {
    return Arrays.stream(CapacityTransfer.State.values())
        .filter(state -> state.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new BadMessage("unknown state " + name));
  }
}
