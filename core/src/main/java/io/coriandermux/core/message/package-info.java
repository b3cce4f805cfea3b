/**
 * Messages between the processes of the dispatcher.
 */
package io.coriandermux.core.message;
