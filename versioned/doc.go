// Package versioned keeps the newest version of a table of rows together with its recent
// changes, and encodes deltas between versions.
//
// A [Table] is at the server. A receiver that has a version asks for the delta to the newest
// one ([Table.DeltaSince]) and gets the rows that changed, or the complete table if its
// version is older than the history or unknown. A delta is encoded once for all receivers
// that have the same version. The receiver decodes it a row at a time ([OpenDelta]), applies
// it ([DeltaReader.ApplyTo], or row by row) and compares the checksum; where that differs it
// asks for the complete table.
//
// Encoded form: a [DeltaHeader] and its rows, each a CBOR item, together compressed by
// package compression. A row without a value is a tombstone: the key was removed.
package versioned
