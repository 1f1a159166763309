package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Rental;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** Encodes requests to the cloud and decodes its responses. */
public final class CloudCodec {
  private static final int RENTALS_PER_PAGE = 500;

  private CloudCodec() {}

  /** Encodes a request to the cloud. */
  public static OutgoingRequest encode(Request.CloudRequest request) {
    if (request instanceof Request.FetchCatalog) {
      return new OutgoingRequest("GET", "/catalog", null);
    }
    if (request instanceof Request.ListRentals list) {
      String after = list.after().map(id -> "from=" + id.value() + "&").orElse("");
      return new OutgoingRequest("GET", "/rentals?" + after + "limit=" + RENTALS_PER_PAGE, null);
    }
    ObjectNode map = BinaryEncoding.newMap();
    if (request instanceof Request.RentMachines rent) {
      map.put("ask", rent.id().value());
      map.put("flavor", rent.type());
      map.put("region", rent.zone());
      map.put("leftovers", rent.spot());
      map.put("number", rent.count());
      return new OutgoingRequest("POST", "/rentals", BinaryEncoding.encodeMessagePack(map));
    }
    ArrayNode hosts = map.putArray("hosts");
    ((Request.ReleaseMachines) request).machines().forEach(id -> hosts.add(id.value()));
    return new OutgoingRequest("POST", "/rentals/release", BinaryEncoding.encodeMessagePack(map));
  }

  /** Decodes the response to a request; any status but 200 is a refusal. */
  public static Answer decode(Request.CloudRequest request, int status, byte[] body)
      throws MalformedMessageException {
    if (status != 200) {
      return new Answer.Refused(status, "");
    }
    if (request instanceof Request.ReleaseMachines) {
      return new Answer.Ok();
    }
    FieldReader fields = new FieldReader(BinaryEncoding.decodeMessagePackMap(body));
    if (request instanceof Request.FetchCatalog) {
      return catalog(fields);
    }
    if (request instanceof Request.RentMachines) {
      return new Answer.Rented(fields.textList("hosts").stream().map(MachineId::new).toList());
    }
    List<Rental> rentals = new ArrayList<>();
    for (JsonNode item : fields.list("hosts")) {
      rentals.add(rental(FieldReader.ofMap(item)));
    }
    return new Answer.Rentals(rentals, fields.has("more") && fields.bool("more"));
  }

  private static Rental rental(FieldReader fields) throws MalformedMessageException {
    Rental.Status status =
        switch (fields.text("status")) {
          case "booting" -> Rental.Status.BOOTING;
          case "running" -> Rental.Status.RUNNING;
          case "failed" -> Rental.Status.FAILED;
          default -> throw new MalformedMessageException("field status has an unknown value");
        };
    return new Rental(
        new MachineId(fields.text("ref")),
        fields.has("addr") ? fields.text("addr") : "",
        fields.text("flavor"),
        fields.text("region"),
        fields.bool("leftovers"),
        status,
        fields.seconds("held_s"));
  }

  private static Answer catalog(FieldReader fields) throws MalformedMessageException {
    Map<String, MachineType> types = new LinkedHashMap<>();
    for (JsonNode item : fields.list("flavors")) {
      FieldReader type = FieldReader.ofMap(item);
      String name = type.text("sku");
      types.put(
          name,
          new MachineType(
              name,
              Resources.ofMachine(
                  type.amount("vcpus"), type.amount("accelerators"), type.amount("memory_gb")),
              type.amount("cache_gb"),
              type.amount("fetch_gb_per_s"),
              type.amount("rate"),
              type.amount("low_price"),
              type.seconds("startup_s"),
              type.textList("regions")));
    }
    return new Answer.Catalog(types);
  }
}
