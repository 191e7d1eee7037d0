// Package versioned stores the newest version of a table of rows together with its recent
// change history, and encodes deltas between versions.
//
// The server holds a [Table]. A receiver requests the delta from its own version to the newest
// one ([Table.DeltaSince]) and gets the rows that changed, or the complete table if its
// version is unknown or older than the history. Each delta is encoded once and shared by all
// receivers that have the same version. The receiver decodes it one row at a time
// ([OpenDelta]), applies it ([DeltaReader.ApplyTo], or row by row) and verifies the checksum;
// on a mismatch it requests the complete table.
//
// An encoded delta is a [DeltaHeader] followed by its rows, each a CBOR item, compressed as a
// whole by package compression. A row without a value is a tombstone: the key was removed.
package versioned
