package ebonygw.operator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Response of the administration API.
 *
 * @param status HTTP status code
 * @param body JSON body
 */
record AdminResponse(int status, JsonNode body) {}
