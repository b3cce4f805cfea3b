package io.coriandermux.standins;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reply of the store stand-in to one call.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
record StoreReply(int status, JsonNode body) {

	static StoreReply error(int status, String message) {
		return new StoreReply(status, HttpExchanges.emptyObject().put("error", message));
	}

}
