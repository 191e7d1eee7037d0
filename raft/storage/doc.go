// Package storage keeps the Raft state of a member (identity, term, vote, log and
// snapshot) on disk, in goleveldb.
//
// # Contract
//
// What [Store.Initialize], [Store.Save] and [Store.Compact] have returned from without
// an error survives a loss of power. A member may send a vote, an acknowledgement or
// its own identity only after that. A store that has lost any of it knows so and fails
// with [ErrCorrupt]: the member must come back under a new identity, see [Reset].
//
// # How a loss is noticed
//
// Each write batch has a sequence number and carries a digest of everything that is
// stored after it. The last acknowledged number and its digest are also kept in a small
// file beside the database, the seal. The order of a write is:
//
//  1. the batch is appended to goleveldb's write-ahead log and synced;
//  2. the seal is advanced to the number of the batch and synced;
//  3. the call returns, and the caller may acknowledge.
//
// So after a restart the database is at the number of the seal, or one further (written
// but never acknowledged). Any other number, or contents that do not have the digest,
// means that acknowledged data was lost.
//
// # Files
//
// The folder of a store holds:
//
//	LOCK             locked by the process that has the store open
//	FORMAT.n         the format of the stored data, see format.go
//	SEAL             the last acknowledged batch, see seal.go
//	CURRENT.n        names the current manifest of goleveldb, see manifest.go
//	MANIFEST-nnnnnn  goleveldb's list of tables
//	nnnnnn.log       goleveldb's write-ahead logs
//	nnnnnn.ldb       goleveldb's tables
//
// Beside the folder, NAME.lost marks a store that was found corrupt and that no new
// member has replaced yet.
package storage
