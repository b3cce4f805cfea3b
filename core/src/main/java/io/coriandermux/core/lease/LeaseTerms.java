package io.coriandermux.core.lease;

import java.util.OptionalLong;

/**
 * Identifies the receiver of an order and authorizes the order.
 *
 * @param endpointId id of the endpoint that the order is addressed to, empty for a poll
 * that any incarnation may answer
 * @param token fencing token of this guard
 * @param expiresAtMillis expiry of the lease on the endpoint's clock in milliseconds,
 * empty if the order does not renew the lease
 */
public record LeaseTerms(String endpointId, long token, OptionalLong expiresAtMillis) {

}
