package io.coriandermux.daemon.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.coriandermux.core.notice.NoticeKind;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an event that is missing from docs/EVENTS.md or listed there with
 * another number or level, and against duplicate numbers.
 */
class EventCatalogueTests {

	@Example
	void codeAndDocumentationListTheSameEvents() throws IOException {
		List<String> defined = new ArrayList<>();
		Stream.of(LogEvent.values())
			.forEach((event) -> defined.add(event.number() + " " + event.name() + " " + event.level()));
		Stream.of(NoticeKind.values())
			.forEach((kind) -> defined.add(kind.number() + " " + kind.name() + " " + LogEvent.levelOf(kind)));
		List<String> documented = new ArrayList<>();
		for (String line : Files.readAllLines(Path.of("..", "docs", "EVENTS.md"))) {
			String[] cells = line.split("\\|");
			if (cells.length > 3 && cells[1].strip().matches("[0-9]+")) {
				documented.add(cells[1].strip() + " " + cells[2].strip() + " " + cells[3].strip());
			}
		}
		assertThat(defined).containsExactlyInAnyOrderElementsOf(documented);
		assertThat(defined.stream().map((entry) -> entry.substring(0, 4))).doesNotHaveDuplicates();
	}

}
