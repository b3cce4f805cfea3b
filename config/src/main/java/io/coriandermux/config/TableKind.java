package io.coriandermux.config;

import io.coriandermux.core.id.OwnerId;

/**
 * Kind of a table, with the store keys of its documents.
 */
public enum TableKind {

	/** Routes of an owner. */
	ROUTES("routes", ConfigKeys.ROUTES_PREFIX),

	/** Pools of an owner. */
	POOLS("pools", ConfigKeys.POOLS_PREFIX);

	private final String field;

	private final String prefix;

	TableKind(String field, String prefix) {
		this.field = field;
		this.prefix = prefix;
	}

	/**
	 * Returns the field of a document that contains the list of items.
	 * @return the name of the field
	 */
	public String field() {
		return this.field;
	}

	/**
	 * Returns the store key of an owner's document.
	 * @param owner the owner
	 * @return the key
	 */
	public String key(OwnerId owner) {
		return this.prefix + owner;
	}

}
