/**
 * Route lookup for tasks, pools of current and recent configurations, and requests that
 * are forwarded to the home of their job.
 */
package io.coriandermux.core.route;
