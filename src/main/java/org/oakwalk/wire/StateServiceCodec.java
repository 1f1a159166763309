package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KeyChange;
import org.oakwalk.core.store.StoredValue;

/** Encodes requests to the state service and stored values, and decodes its responses. */
public final class StateServiceCodec {
  /** With values of a few kilobytes, a page of this size stays below the response size limit. */
  private static final int ENTRIES_PER_PAGE = 250;

  private StateServiceCodec() {}

  /** Encodes a request to the state service. */
  public static OutgoingRequest encode(Request.StateServiceRequest request) {
    if (request instanceof Request.ReadPage read) {
      String after = read.after().map(key -> "&from=" + escape(key)).orElse("");
      return get("/store?starts=" + escape(read.prefix()) + after + "&limit=" + ENTRIES_PER_PAGE);
    }
    if (request instanceof Request.Watch watch) {
      return get(
          "/watch?starts="
              + escape(watch.prefix())
              + "&from="
              + watch.after().value()
              + "&hold_ms="
              + watch.maxWait().millis());
    }
    if (request instanceof Request.GrantLease grant) {
      return post("/leases", BinaryEncoding.newMap().put("ttl_ms", grant.ttl().millis()));
    }
    if (request instanceof Request.RenewLease renew) {
      return post("/leases/" + renew.lease().value() + "/renew", BinaryEncoding.newMap());
    }
    if (request instanceof Request.RevokeLease revoke) {
      return new OutgoingRequest("DELETE", "/leases/" + revoke.lease().value(), null);
    }
    return post("/commit", commit((Request.Commit) request));
  }

  private static OutgoingRequest get(String path) {
    return new OutgoingRequest("GET", path, null);
  }

  private static OutgoingRequest post(String path, ObjectNode body) {
    return new OutgoingRequest("POST", path, BinaryEncoding.encodeMessagePack(body));
  }

  private static String escape(String key) {
    return URLEncoder.encode(key, StandardCharsets.UTF_8);
  }

  private static ObjectNode commit(Request.Commit request) {
    ObjectNode map = BinaryEncoding.newMap();
    ArrayNode guards = map.putArray("guards");
    for (Guard guard : request.guards()) {
      guards.addObject().put("k", guard.key()).put("stamp", guard.revision().value());
    }
    ArrayNode changes = map.putArray("then");
    for (Change change : request.changes()) {
      ObjectNode item = changes.addObject();
      if (change instanceof Change.Put put) {
        item.put("set", put.key());
        item.set("value", value(put.value()));
        put.lease().ifPresent(lease -> item.put("hold", lease.value()));
      } else if (change instanceof Change.Remove remove) {
        item.put("delete", remove.key());
      }
    }
    return map;
  }

  /** Decodes the response to a request; an error status other than a conflict is a refusal. */
  public static Answer decode(Request.StateServiceRequest request, int status, byte[] body)
      throws MalformedMessageException {
    if (status == 409 && request instanceof Request.Commit) {
      return new Answer.Conflict(
          new FieldReader(BinaryEncoding.decodeMessagePackMap(body)).textList("failed"));
    }
    if (status != 200 && status != 201 && status != 204) {
      return new Answer.Refused(status, "");
    }
    if (request instanceof Request.RenewLease || request instanceof Request.RevokeLease) {
      return new Answer.Ok();
    }
    FieldReader fields = new FieldReader(BinaryEncoding.decodeMessagePackMap(body));
    if (request instanceof Request.ReadPage) {
      List<Entry> entries = new ArrayList<>();
      for (JsonNode item : fields.list("entries")) {
        FieldReader entry = FieldReader.ofMap(item);
        entries.add(
            new Entry(
                entry.text("k"), valueOrUnreadable(entry), new Revision(entry.count("stamp"))));
      }
      return new Answer.Page(entries, fields.bool("more"), new Revision(fields.count("epoch")));
    }
    if (request instanceof Request.Watch) {
      return changes(fields);
    }
    if (request instanceof Request.GrantLease) {
      return new Answer.LeaseGranted(new LeaseId(fields.count("hold")));
    }
    return new Answer.Committed(new Revision(fields.count("epoch")));
  }

  private static Answer changes(FieldReader fields) throws MalformedMessageException {
    List<KeyChange> changes = new ArrayList<>();
    if (fields.has("news")) {
      for (JsonNode node : fields.list("news")) {
        FieldReader item = FieldReader.ofMap(node);
        Revision revision = new Revision(item.count("stamp"));
        if (item.has("set")) {
          changes.add(
              new KeyChange(item.text("set"), Optional.of(valueOrUnreadable(item)), revision));
        } else {
          changes.add(new KeyChange(item.text("delete"), Optional.empty(), revision));
        }
      }
    }
    return new Answer.Changes(new Revision(fields.count("epoch")), changes);
  }

  /** Encodes a stored value. */
  static ObjectNode value(StoredValue value) {
    ObjectNode map = BinaryEncoding.newMap();
    if (value instanceof JobRecord job) {
      map.put("sort", "job");
      map.put("phase", job.phase().name());
      map.put("accepted", job.acceptedAt().millis());
      JobCodec.encode(job.spec(), map.putObject("spec"));
    } else if (value instanceof StoredValue.LeaderRecord leader) {
      map.put("sort", "leader");
      map.put("node", leader.node().value());
      map.put("zone", leader.zone());
      map.put("incarnation", leader.incarnation());
    } else if (value instanceof StoredValue.RelayRecord relay) {
      map.put("sort", "relay");
      map.put("zone", relay.zone());
      map.put("token", relay.token().value());
    } else if (value instanceof StoredValue.MachineTypesRecord record) {
      map.put("sort", "types");
      types(record, map);
    } else if (value instanceof StoredValue.DrainRecord record) {
      map.put("sort", "drain");
      DrainCodec.encode(record, map);
    } else if (value instanceof StoredValue.StopsRecord record) {
      map.put("sort", "stops");
      DrainCodec.encode(record, map);
    } else if (value instanceof StoredValue.ProductRecord record) {
      map.put("sort", "product");
      ProductCodec.encode(record.terms(), map);
    } else if (value instanceof StoredValue.SharedHead head) {
      map.put("sort", "head");
      SharedRecordCodec.encode(head, map);
    } else if (value instanceof StoredValue.SharedPart part) {
      map.put("sort", "part");
      SharedRecordCodec.encode(part, map);
    } else if (value instanceof StoredValue.DoneChunk chunk) {
      map.put("sort", "done");
      map.put("bits", chunk.bits());
    } else if (value instanceof StoredValue.MachineRecord machine) {
      map.put("sort", "machine");
      map.put("id", machine.id().value());
      map.put("address", machine.address());
      map.put("type", machine.type());
      map.put("zone", machine.zone());
      map.put("spot", machine.spot());
    } else if (value instanceof StoredValue.MachineListRecord record) {
      map.put("sort", "machines");
      ArrayNode list = map.putArray("machines");
      // Arrays without field names, since a value of a few kilobytes holds many machines.
      record
          .machines()
          .forEach(
              machine ->
                  list.addArray()
                      .add(machine.id().value())
                      .add(machine.address())
                      .add(machine.type())
                      .add(machine.zone())
                      .add(machine.spot()));
    }
    return map;
  }

  /**
   * Decodes an entry's value; an invalid one, or one of a later version, becomes {@link
   * StoredValue.Unreadable}, so that the other entries can still be read.
   */
  private static StoredValue valueOrUnreadable(FieldReader item) {
    try {
      return value(item.map("value"));
    } catch (MalformedMessageException | RuntimeException e) {
      // Constructors of records check their arguments and throw unchecked exceptions.
      return new StoredValue.Unreadable(String.valueOf(e.getMessage()));
    }
  }

  private static void types(StoredValue.MachineTypesRecord record, ObjectNode map) {
    ArrayNode list = map.putArray("types");
    for (MachineType type : record.types().values()) {
      ObjectNode item = list.addObject();
      item.put("name", type.name());
      item.put("cpus", type.resources().cpus());
      item.put("gpus", type.resources().gpus());
      item.put("memory_gb", type.resources().memoryGb());
      item.put("cache_gb", type.cacheGb());
      item.put("fetch_gb_per_s", type.fetchGbPerSecond());
      item.put("price", type.price());
      item.put("spot_price", type.spotPrice());
      item.put("boot_s", type.bootTime().asSeconds());
      ArrayNode zones = item.putArray("zones");
      type.zones().forEach(zones::add);
    }
  }

  private static StoredValue types(FieldReader map) throws MalformedMessageException {
    Map<String, MachineType> types = new LinkedHashMap<>();
    for (JsonNode node : map.list("types")) {
      FieldReader type = FieldReader.ofMap(node);
      types.put(
          type.text("name"),
          new MachineType(
              type.text("name"),
              Resources.ofMachine(
                  type.amount("cpus"), type.amount("gpus"), type.amount("memory_gb")),
              type.amount("cache_gb"),
              type.amount("fetch_gb_per_s"),
              type.amount("price"),
              type.amount("spot_price"),
              type.seconds("boot_s"),
              type.textList("zones")));
    }
    return new StoredValue.MachineTypesRecord(types);
  }

  /** Decodes a stored value by its type. */
  static StoredValue value(FieldReader map) throws MalformedMessageException {
    String sort = map.text("sort");
    return switch (sort) {
      case "job" ->
          new JobRecord(
              JobCodec.decode(map.map("spec")),
              phase(map.text("phase")),
              new WallTime(map.count("accepted")));
      case "leader" ->
          new StoredValue.LeaderRecord(
              new NodeId(map.text("node")), map.text("zone"), map.text("incarnation"));
      case "relay" -> new StoredValue.RelayRecord(map.text("zone"), new Token(map.count("token")));
      case "types" -> types(map);
      case "drain" -> DrainCodec.decodeDrain(map);
      case "stops" -> DrainCodec.decodeStops(map);
      case "product" -> new StoredValue.ProductRecord(ProductCodec.decode(map));
      case "head" -> SharedRecordCodec.head(map);
      case "part" -> SharedRecordCodec.part(map);
      case "done" -> new StoredValue.DoneChunk(map.text("bits"));
      case "machine" ->
          new StoredValue.MachineRecord(
              new MachineId(map.text("id")),
              map.text("address"),
              map.text("type"),
              map.text("zone"),
              map.bool("spot"));
      case "machines" -> machines(map);
      default -> throw new MalformedMessageException("unknown stored value type " + sort);
    };
  }

  private static StoredValue machines(FieldReader map) throws MalformedMessageException {
    List<StoredValue.MachineRecord> machines = new ArrayList<>();
    for (JsonNode node : map.list("machines")) {
      boolean textsValid =
          node.path(0).isTextual()
              && node.path(1).isTextual()
              && node.path(2).isTextual()
              && node.path(3).isTextual();
      if (!textsValid || !node.path(4).isBoolean()) {
        throw new MalformedMessageException("machine list entry is malformed");
      }
      machines.add(
          new StoredValue.MachineRecord(
              new MachineId(node.get(0).textValue()),
              node.get(1).textValue(),
              node.get(2).textValue(),
              node.get(3).textValue(),
              node.get(4).booleanValue()));
    }
    return new StoredValue.MachineListRecord(machines);
  }

  private static JobRecord.Phase phase(String name) throws MalformedMessageException {
    for (JobRecord.Phase phase : JobRecord.Phase.values()) {
      if (phase.name().equals(name)) {
        return phase;
      }
    }
    throw new MalformedMessageException("unknown phase " + name);
  }
}
