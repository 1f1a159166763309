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

/** Requests to the cloud and its answers. */
public final class CloudCodec {
  private static final int PAGE = 500;

  private CloudCodec() {}

  public static HttpMessage encode(Request.CloudRequest request) {
    if (request instanceof Request.FetchCatalog) {
      return new HttpMessage("GET", "/catalog", null);
    }
    if (request instanceof Request.ListRentals list) {
      String after = list.after().map(id -> "from=" + id.value() + "&").orElse("");
      return new HttpMessage("GET", "/rentals?" + after + "limit=" + PAGE, null);
    }
    ObjectNode map = Pack.map();
    if (request instanceof Request.RentMachines rent) {
      map.put("ask", rent.id().value());
      map.put("flavor", rent.type());
      map.put("region", rent.zone());
      map.put("leftovers", rent.spot());
      map.put("number", rent.count());
      return new HttpMessage("POST", "/rentals", Pack.messagePack(map));
    }
    ArrayNode hosts = map.putArray("hosts");
    ((Request.ReleaseMachines) request).machines().forEach(id -> hosts.add(id.value()));
    return new HttpMessage("POST", "/rentals/release", Pack.messagePack(map));
  }

  public static Answer decode(Request.CloudRequest request, int status, byte[] body)
      throws BadMessage {
    if (status != 200) {
      return new Answer.Refused(status, "");
    }
    if (request instanceof Request.ReleaseMachines) {
      return new Answer.Ok();
    }
    Fields fields = new Fields(Pack.messagePackMap(body));
    if (request instanceof Request.FetchCatalog) {
      return catalog(fields);
    }
    if (request instanceof Request.RentMachines) {
      return new Answer.Rented(fields.texts("hosts").stream().map(MachineId::new).toList());
    }
    List<Rental> rentals = new ArrayList<>();
    for (JsonNode item : fields.list("hosts")) {
      rentals.add(rental(Fields.of(item)));
    }
    return new Answer.Rentals(rentals, fields.has("more") && fields.flag("more"));
  }

  private static Rental rental(Fields fields) throws BadMessage {
    Rental.Status status =
        switch (fields.text("status")) {
          case "booting" -> Rental.Status.BOOTING;
          case "running" -> Rental.Status.RUNNING;
          case "failed" -> Rental.Status.FAILED;
          default -> throw new BadMessage("field status has an unknown value");
        };
    return new Rental(
        new MachineId(fields.text("ref")),
        fields.has("addr") ? fields.text("addr") : "",
        fields.text("flavor"),
        fields.text("region"),
        fields.flag("leftovers"),
        status,
        fields.seconds("held_s"));
  }

  private static Answer catalog(Fields fields) throws BadMessage {
    Map<String, MachineType> types = new LinkedHashMap<>();
    for (JsonNode item : fields.list("flavors")) {
      Fields type = Fields.of(item);
      String name = type.text("sku");
      types.put(
          name,
          new MachineType(
              name,
              new Resources(
                  type.amount("vcpus"), type.amount("accelerators"), type.amount("memory_gb")),
              type.amount("cache_gb"),
              type.amount("fetch_gb_per_s"),
              type.amount("rate"),
              type.amount("low_price"),
              type.seconds("startup_s"),
              type.texts("regions")));
    }
    return new Answer.Catalog(types);
  }
}
