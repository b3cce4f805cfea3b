package io.coriandermux.version;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a record that can't tell from which sources its processes were built.
 */
class VersionGeneratorTests {

	// Output of: printf 'text\n' | git hash-object --stdin
	private static final String TEXT_ID = "8e27be7d6154a1f68ea9160ef0e18691d20560dc";

	private static final String TREE = """
			100644 blob %1$s\tREADME.md
			100644 blob %1$s\tcore/pom.xml
			100644 blob %1$s\tcore/src/main/java/A.java
			120000 blob %1$s\tcore/src/main/java/link
			100644 blob %1$s\tcore/src/test/java/B.java
			100755 blob %1$s\tpom.xml
			""".formatted(TEXT_ID);

	@Example
	void theSameSourcesHaveTheSameDigestInAnyFolder() throws IOException {
		Path first = createProject("text\n");
		Path second = createProject("text\n");
		assertThat(VersionGenerator.digest(VersionGenerator.readFiles(first)))
			.isEqualTo(VersionGenerator.digest(VersionGenerator.readFiles(second)))
			.hasSize(12);
	}

	@Example
	void aChangedSourceChangesTheDigest() throws IOException {
		assertThat(VersionGenerator.digest(VersionGenerator.readFiles(createProject("text\n"))))
			.isNotEqualTo(VersionGenerator.digest(VersionGenerator.readFiles(createProject("other\n"))));
	}

	@Example
	void aFolderHasTheFilesThatGitListsForItsCommit() throws IOException {
		assertThat(VersionGenerator.readFiles(createProject("text\n"))).isEqualTo(VersionGenerator.parseTree(TREE));
	}

	@Example
	void theVersionNamesTheCommitAndWhetherTheSourcesDifferFromIt() {
		SortedMap<String, String> files = VersionGenerator.parseTree(TREE);
		SortedMap<String, String> changed = new TreeMap<>(files);
		changed.put("core/src/main/java/C.java", TEXT_ID);
		Optional<VersionGenerator.Commit> commit = Optional.of(new VersionGenerator.Commit("0123456789ab", files));
		assertThat(VersionGenerator.generate("1.2", files, commit)).contains("\"1.2\", \"0123456789ab\", false");
		assertThat(VersionGenerator.generate("1.2", changed, commit)).contains("\"1.2\", \"0123456789ab\", true");
	}

	@Example
	void aFolderWithoutARepositoryHasADigestButNoCommit() throws IOException, InterruptedException {
		Path project = createProject("text\n");
		assertThat(VersionGenerator.readCommit(project)).isEmpty();
		assertThat(VersionGenerator.generate("1.2", VersionGenerator.readFiles(project), Optional.empty()))
			.contains("\"1.2\", \"unknown\", false, \"" + VersionGenerator.digest(VersionGenerator.readFiles(project))
					+ "\"");
	}

	@Example
	void theRunningProgramNamesTheSourcesOfThisFolder() throws IOException {
		assertThat(ProgramVersion.current().digest())
			.isEqualTo(VersionGenerator.digest(VersionGenerator.readFiles(Path.of("..").toRealPath())));
	}

	@Example
	void theVersionIsOneLineWithAllItsParts() {
		assertThat(new ProgramVersion("1.2", "0123456789ab", true, "ba9876543210"))
			.hasToString("1.2, commit 0123456789ab changed, sources ba9876543210");
	}

	private static Path createProject(String text) throws IOException {
		Path root = Files.createTempDirectory("project");
		for (String file : new String[] { "README.md", "pom.xml", "core/pom.xml", "core/src/main/java/A.java",
				"core/src/test/java/B.java", "core/target/classes/A.class" }) {
			Path path = root.resolve(file);
			Files.createDirectories(path.getParent());
			Files.writeString(path, text);
		}
		return root;
	}

}
