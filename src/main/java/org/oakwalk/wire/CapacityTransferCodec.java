package org.oakwalk.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.exchange.Take;
import org.oakwalk.core.exchange.TakeId;
import org.oakwalk.core.job.Resources;

/** Encodes and decodes stored capacity transfers from one job to another. */
final class CapacityTransferCodec implements SharedRecordCodec.RowCodec<Take> {
  @Override
  public String typeTag() {
    return "take";
  }

  @Override
  public Class<Take> rowClass() {
    return Take.class;
  }

  @Override
  public void encode(Take transfer, ObjectNode map) {
    map.put("token", transfer.id().token().value());
    map.put("number", transfer.id().number());
    map.put("state", transfer.state().name());
    map.put("exchange", transfer.exchange());
    map.put("giver", transfer.giver().value());
    map.put("team", transfer.giverTeam());
    map.put("tasks", transfer.tasks());
    map.put("taker", transfer.taker().value());
    map.put("cpus", transfer.room().cpus());
    map.put("gpus", transfer.room().gpus());
    map.put("memory_gb", transfer.room().memoryGb());
    map.put("machine", transfer.machine().value());
    map.put("level", transfer.level());
    map.put("since", transfer.since().millis());
  }

  @Override
  public Take decode(FieldReader map) throws MalformedMessageException {
    return new Take(
        new TakeId(new Token(map.count("token")), map.count("number")),
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

  private static Take.State state(String name) throws MalformedMessageException {
    return Arrays.stream(Take.State.values())
        .filter(state -> state.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new MalformedMessageException("unknown state " + name));
  }
}
