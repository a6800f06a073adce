package ebonygw.operator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reply of the administration API.
 *
 * @param status HTTP status
 * @param body the JSON
 */
record AdminReply(int status, JsonNode body) {}
