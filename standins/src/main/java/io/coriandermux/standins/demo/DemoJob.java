package io.coriandermux.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A job of the demo, as read from the file of jobs.
 *
 * @param owner the owner of the job
 * @param name the name of the job in the file
 * @param wave the wave in which the job is submitted, from 1
 * @param resubmit whether the job is also submitted through the other entry
 * @param issuedId whether an entry issues the id; otherwise the id is free-form
 * @param request the request without its id
 */
record DemoJob(String owner, String name, int wave, boolean resubmit, boolean issuedId, ObjectNode request) {

	static DemoJob of(JsonNode node) {
		ObjectNode request = node.deepCopy();
		request.remove("owner");
		request.remove("name");
		request.remove("wave");
		request.remove("resubmit");
		request.remove("issuedId");
		return new DemoJob(node.path("owner").asText(), node.path("name").asText(), node.path("wave").asInt(),
				node.path("resubmit").asBoolean(), node.path("issuedId").asBoolean(), request);
	}

	int tasks() {
		return this.request.path("tasks").size();
	}

	@Override
	public String toString() {
		return this.owner + "/" + this.name;
	}

}
