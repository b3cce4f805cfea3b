package io.coriandermux.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.id.OwnerId;

/**
 * Authenticates owners by their bearer key. Only hashes of the keys are stored.
 */
public final class OwnerKeys {

	private static final String BEARER_PREFIX = "Bearer ";

	private final Map<String, OwnerId> ownersByHash;

	/**
	 * Creates the registry of keys.
	 * @param ownersByHash owners by the SHA-256 of their key in lower-case hexadecimal
	 * digits
	 */
	public OwnerKeys(Map<String, OwnerId> ownersByHash) {
		this.ownersByHash = Map.copyOf(ownersByHash);
	}

	/**
	 * Authenticates a request.
	 * @param authorization value of the header {@code Authorization}, or null
	 * @return the owner, or empty if the key is missing or unknown
	 */
	public Optional<OwnerId> authenticate(String authorization) {
		if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
			return Optional.empty();
		}
		return Optional
			.ofNullable(this.ownersByHash.get(sha256(authorization.substring(BEARER_PREFIX.length()).strip())));
	}

	private static String sha256(String key) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			// Every Java platform provides SHA-256; without it, no key is accepted.
			return "";
		}
	}

}
