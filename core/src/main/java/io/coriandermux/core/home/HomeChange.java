package io.coriandermux.core.home;

import java.util.BitSet;

/**
 * The partitions that an entry gains and loses by a new home table.
 *
 * @param gained numbers of the partitions that the entry becomes home of, or remains home
 * of under a higher epoch
 * @param lost numbers of the partitions that the entry was home of and whose home or
 * epoch has changed
 */
public record HomeChange(BitSet gained, BitSet lost) {

}
