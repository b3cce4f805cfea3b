package io.coriandermux.config;

import java.util.regex.Pattern;

import io.coriandermux.core.id.OwnerId;

/**
 * Keys of the configuration documents in the store.
 */
public final class ConfigKeys {

	/** Prefix of all configuration documents. */
	public static final String PREFIX = "/config/";

	/** Prefix of the routes documents. */
	public static final String ROUTES_PREFIX = "/config/routes/";

	/** Prefix of the pools documents. */
	public static final String POOLS_PREFIX = "/config/pools/";

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	private ConfigKeys() {
	}

	/**
	 * Returns the key of an owner's routes document.
	 * @param owner the owner
	 * @return the key
	 */
	public static String routesKey(OwnerId owner) {
		return ROUTES_PREFIX + owner;
	}

	/**
	 * Returns the key of an owner's pools document.
	 * @param owner the owner
	 * @return the key
	 */
	public static String poolsKey(OwnerId owner) {
		return POOLS_PREFIX + owner;
	}

	/**
	 * Returns whether a text is a valid name of an owner, a route, a pool or an endpoint.
	 * @param text the text
	 * @return whether the text consists of 1 to 63 letters, digits, dots, underscores and
	 * hyphens, and begins with a letter or digit
	 */
	public static boolean isValidName(String text) {
		return NAME.matcher(text).matches();
	}

}
