package io.coriandermux.daemon.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.entry.EntrySettings;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.ZoneName;

/**
 * Reads and validates settings files.
 */
public final class SettingsReader {

	private static final int MAX_CONNECTIONS = 65_536;

	private static final int DEFAULT_CONNECTIONS = 4096;

	private static final long MAX_DURATION_MILLIS = 3_600_000;

	private static final long DEFAULT_DRAIN_MILLIS = 30_000;

	private static final int MAX_JOBS = 10_000_000;

	private static final long MAX_MEMORY_BYTES = 1L << 36;

	private static final long DEFAULT_BODY_BYTES = 4L * 1024 * 1024;

	private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

	private static final long DEFAULT_BODY_MILLIS = 10_000;

	private static final int DEFAULT_GUARD_LINKS = 1024;

	private static final int MAX_SLOTS = 1024;

	private static final int MAX_RESOURCE_AMOUNT = 100_000_000;

	private static final long DEFAULT_LEDGER_BYTES = 8L * 1024 * 1024;

	private static final int MIN_SECRET_LENGTH = 16;

	private static final double MAX_REMOTE_FACTOR = 100;

	/** Leases are renewed every 250 ms. */
	private static final long MIN_LEASE_MILLIS = 500;

	private final ObjectMapper json = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	/**
	 * Reads the settings of an entry.
	 * @param file the settings file
	 * @return the settings
	 * @throws SettingsException if the settings are invalid; lists all errors
	 */
	public EntryProcessSettings readEntry(Path file) throws SettingsException {
		List<String> errors = new ArrayList<>();
		SettingsSection section = new SettingsSection(parse(file, errors), "", errors);
		ProcessSettings process = process(section, file, errors);
		int callersPort = section.port("callersPort");
		Map<String, OwnerId> owners = owners(section);
		SettingsSection limits = limits(section, errors);
		EntryProcessSettings settings = new EntryProcessSettings(withLimits(process, limits), callersPort, owners,
				(int) limits.number("jobs", 1, MAX_JOBS, EntrySettings.DEFAULT_MAX_JOBS),
				limits.number("answerBytes", 1, MAX_MEMORY_BYTES, EntrySettings.DEFAULT_ANSWER_BYTES),
				limits.number("bodyBytes", 1, MAX_BODY_BYTES, DEFAULT_BODY_BYTES),
				limits.number("bodyMillis", 1, MAX_DURATION_MILLIS, DEFAULT_BODY_MILLIS),
				(int) limits.number("guardLinks", 1, MAX_CONNECTIONS, DEFAULT_GUARD_LINKS));
		limits.rejectUnknownFields();
		section.rejectUnknownFields();
		return requireValid(settings, errors);
	}

	/**
	 * Reads the settings of a guard.
	 * @param file the settings file
	 * @return the settings
	 * @throws SettingsException if the settings are invalid; lists all errors
	 */
	public GuardProcessSettings readGuard(Path file) throws SettingsException {
		List<String> errors = new ArrayList<>();
		SettingsSection section = new SettingsSection(parse(file, errors), "", errors);
		ProcessSettings process = process(section, file, errors);
		SettingsSection endpoint = section.section("endpoint");
		SettingsSection capacity = endpoint.section("capacity");
		SettingsSection limits = limits(section, errors);
		GuardProcessSettings settings = new GuardProcessSettings(withLimits(process, limits),
				new EndpointName(endpoint.name("name")), endpoint.url("url"),
				(int) endpoint.number("slots", 1, MAX_SLOTS),
				new Resources((int) capacity.number("cores", 0, MAX_RESOURCE_AMOUNT),
						(int) capacity.number("memoryMb", 0, MAX_RESOURCE_AMOUNT),
						(int) capacity.number("accelerators", 0, MAX_RESOURCE_AMOUNT)),
				limits.number("ledgerBytes", 1, MAX_MEMORY_BYTES, DEFAULT_LEDGER_BYTES));
		capacity.rejectUnknownFields();
		endpoint.rejectUnknownFields();
		limits.rejectUnknownFields();
		section.rejectUnknownFields();
		return requireValid(settings, errors);
	}

	/**
	 * Reads the settings of an entry that serves batches.
	 * @param file the settings file
	 * @return the settings
	 * @throws SettingsException if the settings are invalid; lists all errors
	 */
	public BatchEntrySettings readBatchEntry(Path file) throws SettingsException {
		List<String> errors = new ArrayList<>();
		SettingsSection section = new SettingsSection(parse(file, errors), "", errors);
		ProcessSettings process = process(section, file, errors);
		SettingsSection limits = limits(section, errors);
		BatchEntrySettings settings = new BatchEntrySettings(withLimits(process, limits),
				section.listenAddress("callers"), section.listenAddress("ready"),
				section.decimal("remoteFactor", 1, MAX_REMOTE_FACTOR));
		limits.rejectUnknownFields();
		section.rejectUnknownFields();
		return requireValid(settings, errors);
	}

	/**
	 * Reads the settings of a guard whose endpoint runs tasks under a lease.
	 * @param file the settings file
	 * @return the settings
	 * @throws SettingsException if the settings are invalid; lists all errors
	 */
	public BatchGuardSettings readBatchGuard(Path file) throws SettingsException {
		List<String> errors = new ArrayList<>();
		SettingsSection section = new SettingsSection(parse(file, errors), "", errors);
		ProcessSettings process = process(section, file, errors);
		SettingsSection limits = limits(section, errors);
		BatchGuardSettings settings = new BatchGuardSettings(withLimits(process, limits), section.url("endpoint"),
				section.number("maxLeaseMillis", MIN_LEASE_MILLIS, MAX_DURATION_MILLIS));
		limits.rejectUnknownFields();
		section.rejectUnknownFields();
		return requireValid(settings, errors);
	}

	private static <T> T requireValid(T settings, List<String> errors) throws SettingsException {
		if (!errors.isEmpty()) {
			throw new SettingsException(errors);
		}
		return settings;
	}

	private JsonNode parse(Path file, List<String> errors) throws SettingsException {
		try {
			return this.json.readTree(Files.readString(file));
		}
		catch (JsonProcessingException ex) {
			errors.add("the file is not JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			errors.add("the file cannot be read: " + ex.getMessage());
		}
		throw new SettingsException(errors);
	}

	private static SettingsSection limits(SettingsSection section, List<String> errors) {
		if (section.has("limits")) {
			return section.section("limits");
		}
		return new SettingsSection(new ObjectMapper().createObjectNode(), "limits", errors);
	}

	private static ProcessSettings process(SettingsSection section, Path file, List<String> errors) {
		return new ProcessSettings(section.name("id"), new ZoneName(section.name("zone")),
				new RackName(section.name("rack")), section.address("address"), section.port("peerPort"),
				section.port("operatorsPort"), section.urls("stores"), secret(section, file, errors), 0, 0);
	}

	private static ProcessSettings withLimits(ProcessSettings process, SettingsSection limits) {
		return new ProcessSettings(process.id(), process.zone(), process.rack(), process.address(), process.peerPort(),
				process.operatorsPort(), process.stores(), process.secret(),
				(int) limits.number("connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS),
				limits.number("drainMillis", 0, MAX_DURATION_MILLIS, DEFAULT_DRAIN_MILLIS));
	}

	private static String secret(SettingsSection section, Path file, List<String> errors) {
		boolean inFile = section.has("secretFile");
		if (inFile == section.has("secret")) {
			errors.add("secret: exactly one of secret and secretFile is expected");
			return "-";
		}
		String secret = inFile ? readSecret(file.resolveSibling(section.text("secretFile")), section)
				: section.text("secret");
		if (secret.length() < MIN_SECRET_LENGTH) {
			errors.add((inFile ? "secretFile" : "secret") + ": at least " + MIN_SECRET_LENGTH
					+ " characters are expected");
		}
		return secret;
	}

	private static String readSecret(Path file, SettingsSection section) {
		try {
			return Files.readString(file, StandardCharsets.UTF_8).strip();
		}
		catch (IOException ex) {
			section.addError("secretFile", "the file cannot be read: " + ex.getMessage());
			return "-".repeat(MIN_SECRET_LENGTH);
		}
	}

	private static Map<String, OwnerId> owners(SettingsSection section) {
		Map<String, OwnerId> owners = new LinkedHashMap<>();
		for (SettingsSection ownerSection : section.sections("owners")) {
			OwnerId owner = new OwnerId(ownerSection.name("owner"));
			if (owners.putIfAbsent(ownerSection.sha256("keySha256"), owner) != null) {
				ownerSection.addError("keySha256", "duplicate key");
			}
			ownerSection.rejectUnknownFields();
		}
		return owners;
	}

}
