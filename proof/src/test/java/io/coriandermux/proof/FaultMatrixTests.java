package io.coriandermux.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.coriandermux.proof.fault.Cell;
import io.coriandermux.proof.fault.StatedOutcomes;
import io.coriandermux.proof.trace.TraceFormatException;
import io.coriandermux.proof.trace.TraceRun;
import io.coriandermux.proof.world.CoreLogicFactory;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fault that, injected at a step of a job or an edit, breaks a guarantee
 * or leads to an outcome other than the stated one.
 */
class FaultMatrixTests {

	@Example
	void eachCellHasItsStatedOutcomeAndBreaksNoGuarantee() throws IOException, TraceFormatException {
		StatedOutcomes stated = StatedOutcomes.load();
		List<String> differences = new ArrayList<>();
		for (Cell cell : Cell.all()) {
			TraceRun run = TraceRun.of(cell.trace(), new CoreLogicFactory());
			run.violations().forEach((violation) -> differences.add(cell.label() + ": " + violation));
			String actual = StatedOutcomes.format(cell, StatedOutcomes.statable(run.outcomes()));
			String expected = StatedOutcomes.format(cell, stated.of(cell));
			if (!actual.equals(expected)) {
				differences.add("stated " + expected + ", seen " + actual);
			}
		}
		assertThat(differences).isEmpty();
	}

	@Example
	void pageShowsTheStatedOutcomesAndTheDetectedMutations() throws IOException, TraceFormatException {
		assertThat(Path.of("../docs/fault-matrix.md")).hasContent(ProofTool.buildPage());
		assertThat(Files.readString(Path.of("../docs/fault-matrix.md"))).doesNotContain("| no |");
	}

}
