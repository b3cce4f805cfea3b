package io.coriandermux.core.model;

/**
 * Circumstances in which a guard is struck.
 */
enum Surroundings {

	/**
	 * The connections of the callers of the entry that has requested the run break, and
	 * the callers come back after 1.3 s. The entry is told in half of the cases.
	 */
	CALLERS_RETURN,

	/** An earlier request for the batch reaches another entry within 0.6 s. */
	HELD_REQUEST,

	/** 4% of the orders are not answered and carried out 2 to 12 s later. */
	UNANSWERED_ORDERS,

	/** Answers of endpoints are late by up to 200 ms and overtake each other. */
	LATE_ANSWERS,

	/** The entry that has requested the run stands still for up to 1.5 s. */
	ENTRY_PAUSE,

	/** The processes have run for less than 15 s. */
	YOUNG,

	/** The processes reach 15 s while batches are in progress. */
	COMPLETING

}
