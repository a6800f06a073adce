package ebonygw.hostlist;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import ebonygw.membership.HostList;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes the JSON format of the platform's host list. */
public final class HostListJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HostListJson() {}

    /**
     * Parses a host list.
     *
     * @throws IOException if the text is not valid JSON, or a field is missing or has an unknown
     *     value
     */
    public static HostList read(ByteString json) throws IOException {
        JsonNode root = MAPPER.readTree(json.newInput());
        JsonNode listed = root == null ? null : root.get("hosts");
        if (listed == null || !listed.isArray()) {
            throw new IOException("host list has no array \"hosts\"");
        }
        List<HostList.Host> hosts = new ArrayList<>();
        for (JsonNode host : listed) {
            hosts.add(new HostList.Host(member(host)));
        }
        return new HostList(hosts);
    }

    /** Returns the JSON text of a host list. */
    public static String write(HostList hosts) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode listed = root.putArray("hosts");
        for (HostList.Host host : hosts.hosts()) {
            Member member = host.process();
            ObjectNode entry = listed.addObject();
            entry.put("name", member.id().name());
            entry.put("incarnation", member.incarnation());
            entry.put("role", member.role().name().toLowerCase(Locale.ROOT));
            entry.put("state", member.state().name().toLowerCase(Locale.ROOT));
            entry.put("region", member.locality().region());
            entry.put("data_center", member.locality().dataCenter());
            entry.put("address", member.address());
            entry.put("serves", member.serves());
        }
        return root.toString();
    }

    private static Member member(JsonNode host) throws IOException {
        try {
            return new Member(
                    new NodeId(requiredText(host, "name")),
                    host.path("incarnation").asLong(0),
                    Role.valueOf(requiredText(host, "role").toUpperCase(Locale.ROOT)),
                    MemberState.valueOf(requiredText(host, "state").toUpperCase(Locale.ROOT)),
                    new Locality(requiredText(host, "region"), requiredText(host, "data_center")),
                    requiredText(host, "address"),
                    host.path("serves").asText(""));
        } catch (IllegalArgumentException cause) {
            throw new IOException("invalid entry in the host list: " + cause.getMessage(), cause);
        }
    }

    private static String requiredText(JsonNode host, String name) throws IOException {
        JsonNode value = host.path(name);
        if (!value.isTextual()) {
            throw new IOException("host list entry has no text field \"" + name + "\"");
        }
        return value.asText();
    }
}
