package io.coriandermux.version;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Generates the class that holds the version of the program. The build starts this file
 * before it compiles anything, so it uses only the classes of Java.
 * <p>
 * The sources are the files of the build and of {@code src/main} of each module. Their
 * digest is computed from their paths and git object ids, so bin/find-version can compute
 * it for any commit without its files.
 */
public final class VersionGenerator {

	static final String UNKNOWN = "unknown";

	private static final int ID_DIGITS = 12;

	private static final Pattern SOURCE = Pattern.compile("([^/]+/)?pom\\.xml|[^/]+/src/main/.+");

	/** A line of {@code git ls-tree}; modes of regular files start with 100. */
	private static final Pattern TREE_LINE = Pattern.compile("100\\d+ blob ([0-9a-f]+)\t(.+)");

	private VersionGenerator() {
	}

	/**
	 * Generates the class.
	 * @param args the root folder of the project, its version, and the folder for the
	 * generated source
	 * @throws IOException if a file cannot be read or written
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		Path root = Path.of(args[0]);
		Path folder = Files.createDirectories(Path.of(args[2]).resolve("io/coriandermux/version"));
		String source = generate(args[1], readFiles(root), readCommit(root));
		Path target = folder.resolve("GeneratedVersion.java");
		// The compiler runs again if the file is newer than its class.
		if (!Files.exists(target) || !Files.readString(target).equals(source)) {
			Files.writeString(target, source);
		}
	}

	/**
	 * Returns the source of the generated class.
	 * @param release version of the project
	 * @param files git object ids of the sources by their paths
	 * @param commit the commit that is checked out, empty if it is unknown
	 * @return the source
	 */
	static String generate(String release, SortedMap<String, String> files, Optional<Commit> commit) {
		return """
				package io.coriandermux.version;

				final class GeneratedVersion {

					private GeneratedVersion() {
					}

					static ProgramVersion value() {
						return new ProgramVersion("%s", "%s", %s, "%s");
					}

				}
				""".formatted(release, commit.map(Commit::id).orElse(UNKNOWN),
				commit.map((known) -> !known.files().equals(files)).orElse(false), digest(files));
	}

	/**
	 * Returns the digest of sources.
	 * @param files git object ids of the sources by their paths
	 * @return its first digits
	 */
	static String digest(SortedMap<String, String> files) {
		StringBuilder lines = new StringBuilder();
		files.forEach((path, id) -> lines.append(id).append('\t').append(path).append('\n'));
		return hash("SHA-256", lines.toString().getBytes(StandardCharsets.UTF_8)).substring(0, ID_DIGITS);
	}

	/**
	 * Reads the sources of a folder.
	 * @param root root folder of the project
	 * @return their git object ids by their paths
	 * @throws IOException if a file cannot be read
	 */
	static SortedMap<String, String> readFiles(Path root) throws IOException {
		SortedMap<String, String> files = new TreeMap<>();
		addFile(files, root, root.resolve("pom.xml"));
		try (Stream<Path> modules = Files.list(root)) {
			for (Path module : modules.toList()) {
				addFile(files, root, module.resolve("pom.xml"));
				addFiles(files, root, module.resolve("src/main"));
			}
		}
		return files;
	}

	private static void addFiles(Map<String, String> files, Path root, Path folder) throws IOException {
		if (!Files.isDirectory(folder)) {
			return;
		}
		try (Stream<Path> contents = Files.walk(folder)) {
			for (Path file : contents.toList()) {
				addFile(files, root, file);
			}
		}
	}

	private static void addFile(Map<String, String> files, Path root, Path file) throws IOException {
		if (Files.isRegularFile(file)) {
			String path = root.relativize(file).toString().replace(file.getFileSystem().getSeparator(), "/");
			files.put(path, objectId(Files.readAllBytes(file)));
		}
	}

	private static String objectId(byte[] content) {
		byte[] header = ("blob " + content.length + "\0").getBytes(StandardCharsets.UTF_8);
		byte[] object = Arrays.copyOf(header, header.length + content.length);
		System.arraycopy(content, 0, object, header.length, content.length);
		return hash("SHA-1", object);
	}

	private static String hash(String algorithm, byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance(algorithm).digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Java has no " + algorithm, ex);
		}
	}

	/**
	 * Reads the commit that is checked out in a folder.
	 * @param root root folder of the project
	 * @return the commit, empty without git or if the folder is not the root of a
	 * repository
	 * @throws IOException if the output of git cannot be read
	 * @throws InterruptedException if the thread is interrupted
	 */
	static Optional<Commit> readCommit(Path root) throws IOException, InterruptedException {
		Optional<String> prefix = git(root, "rev-parse", "--show-prefix");
		// The prefix is the path from the root of the repository.
		if (prefix.filter(String::isBlank).isEmpty()) {
			return Optional.empty();
		}
		Optional<String> id = git(root, "rev-parse", "--short=" + ID_DIGITS, "HEAD");
		Optional<String> tree = git(root, "-c", "core.quotePath=false", "ls-tree", "-r", "HEAD");
		return (id.isPresent() && tree.isPresent()) ? Optional.of(new Commit(id.get().strip(), parseTree(tree.get())))
				: Optional.empty();
	}

	/**
	 * Selects the sources from a list of files.
	 * @param tree output of {@code git ls-tree -r}
	 * @return their git object ids by their paths
	 */
	static SortedMap<String, String> parseTree(String tree) {
		SortedMap<String, String> files = new TreeMap<>();
		tree.lines()
			.map(TREE_LINE::matcher)
			.filter(Matcher::matches)
			.filter((line) -> SOURCE.matcher(line.group(2)).matches())
			.forEach((line) -> files.put(line.group(2), line.group(1)));
		return files;
	}

	private static Optional<String> git(Path folder, String... arguments) throws IOException, InterruptedException {
		List<String> command = new ArrayList<>(List.of("git"));
		command.addAll(List.of(arguments));
		Process process;
		try {
			process = new ProcessBuilder(command).directory(folder.toFile())
				.redirectError(ProcessBuilder.Redirect.DISCARD)
				.start();
		}
		catch (IOException ex) {
			// Git is not installed.
			return Optional.empty();
		}
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		return (process.waitFor() == 0) ? Optional.of(output) : Optional.empty();
	}

	/**
	 * A commit.
	 *
	 * @param id first digits of its id
	 * @param files git object ids of its sources by their paths
	 */
	record Commit(String id, SortedMap<String, String> files) {

	}

}
