package io.coriandermux.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against text output that omits a part of the JSON.
 */
class JsonTextTests {

	@Example
	void objectsAreRenderedAsLinesAndArraysOfObjectsAsTables() throws JsonProcessingException {
		assertThat(render("{\"a\":1,\"b\":[],\"c\":[{\"x\":1,\"y\":\"long\"},{\"x\":22}],\"d\":[\"p\",\"q\"]}"))
			.isEqualTo("a: 1\nb: none\nc:\n  x   y\n  1   long\n  22\nd:\n  - p\n  - q");
	}

	@Example
	void objectsInLinesAndCellsAreShownAsTheirValues() throws JsonProcessingException {
		assertThat(render("{\"tables\":{\"value\":3}}")).isEqualTo("tables: 3");
		assertThat(render("[{\"job\":{\"owner\":{\"value\":\"guild\"},\"job\":\"j1\"}}]")).isEqualTo("job\nguild/j1");
	}

	@Example
	void emptyValuesAreShown() throws JsonProcessingException {
		assertThat(render("[]")).isEqualTo("none");
		assertThat(render("{\"a\":{}}")).isEqualTo("a: none");
	}

	private static String render(String json) throws JsonProcessingException {
		return JsonText.of(new ObjectMapper().readTree(json));
	}

}
