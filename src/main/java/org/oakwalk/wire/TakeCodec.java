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

/** The stored form of takes. */
final class TakeCodec implements SharedRecordCodec.RowCodec<Take> {
  @Override
  public String typeTag() {
    return "take";
  }

  @Override
  public Class<Take> rowClass() {
    return Take.class;
  }

  @Override
  public void encode(Take take, ObjectNode map) {
    map.put("token", take.id().token().value());
    map.put("number", take.id().number());
    map.put("state", take.state().name());
    map.put("exchange", take.exchange());
    map.put("giver", take.giver().value());
    map.put("team", take.giverTeam());
    map.put("tasks", take.tasks());
    map.put("taker", take.taker().value());
    map.put("cpus", take.room().cpus());
    map.put("gpus", take.room().gpus());
    map.put("memory_gb", take.room().memoryGb());
    map.put("machine", take.machine().value());
    map.put("level", take.level());
    map.put("since", take.since().millis());
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
