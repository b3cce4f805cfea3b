package io.coriandermux.cli;

/**
 * Result of an edit that was written to the store.
 *
 * @param revision revision of the document after the edit, 0 if it is known only that the
 * edit was written
 * @param answerLost whether an answer of the store was lost and the edit was found by its
 * id
 */
record EditResult(long revision, boolean answerLost) {

}
