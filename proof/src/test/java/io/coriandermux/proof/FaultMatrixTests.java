package io.coriandermux.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.coriandermux.proof.fault.ExpectedOutcomes;
import io.coriandermux.proof.fault.MatrixCell;
import io.coriandermux.proof.simulation.CoreLogicFactory;
import io.coriandermux.proof.trace.TraceFormatException;
import io.coriandermux.proof.trace.TraceRun;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fault that, injected at a step of a job or an edit, breaks a guarantee
 * or leads to an outcome other than the expected one.
 */
class FaultMatrixTests {

	@Example
	void eachCellHasItsExpectedOutcomeAndBreaksNoGuarantee() throws IOException, TraceFormatException {
		ExpectedOutcomes expectedOutcomes = ExpectedOutcomes.load();
		List<String> differences = new ArrayList<>();
		for (MatrixCell cell : MatrixCell.all()) {
			TraceRun run = TraceRun.execute(cell.trace(), new CoreLogicFactory());
			run.violations().forEach((violation) -> differences.add(cell.label() + ": " + violation));
			String actual = ExpectedOutcomes.format(cell, ExpectedOutcomes.withoutBursts(run.outcomes()));
			String expected = ExpectedOutcomes.format(cell, expectedOutcomes.of(cell));
			if (!actual.equals(expected)) {
				differences.add("expected " + expected + ", actual " + actual);
			}
		}
		assertThat(differences).isEmpty();
	}

	@Example
	void pageShowsTheExpectedOutcomesAndTheDetectedMutations() throws IOException, TraceFormatException {
		assertThat(Path.of("../docs/fault-matrix.md")).hasContent(ProofTool.buildPage());
		assertThat(Files.readString(Path.of("../docs/fault-matrix.md"))).doesNotContain("| no |");
	}

}
