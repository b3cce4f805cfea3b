/**
 * Transport between processes: MessagePack codec, framing, and authenticated TCP links
 * with heartbeats.
 */
package io.coriandermux.wire;
