// Package storage persists the Raft state of a member (identity, term, vote, log and
// snapshot) in goleveldb.
//
// # Durability
//
// Data is durable, and survives a power loss, once [Store.Initialize], [Store.Save] or
// [Store.Compact] has returned without an error. Only then may the member send messages that
// depend on the data, such as a vote, an acknowledgement or its identity. If any durable data
// is lost, the store detects this and fails with [ErrCorrupt]; the member must then rejoin
// under a new identity, see [Reset].
//
// # Detection of lost data
//
// Each write batch has a sequence number and carries a digest of the contents of the store
// after the batch. The sequence number and digest of the last acknowledged batch are also
// stored in the seal, a small file next to the database. A write has three steps:
//
//  1. The batch is appended to goleveldb's write-ahead log and synced.
//  2. The seal is advanced to the batch and synced.
//  3. The call returns, and the caller may acknowledge the data.
//
// After a restart the database is therefore at the batch recorded in the seal, or at the
// next one, which was written but never acknowledged. Any other sequence number, or
// contents that don't match the digest, means that acknowledged data was lost.
//
// # Files
//
// The directory of a store holds:
//
//	LOCK             locked by the process that has the store open
//	FORMAT.n         the format version of the stored data, see format.go
//	SEAL             the last acknowledged batch, see seal.go
//	CURRENT.n        the name of goleveldb's current manifest, see manifest.go
//	MANIFEST-nnnnnn  goleveldb's list of tables
//	nnnnnn.log       goleveldb's write-ahead logs
//	nnnnnn.ldb       goleveldb's tables
//
// Next to the directory, a file with the same name and the suffix .lost marks a store that
// was found corrupt and has not yet been replaced by that of a new member.
package storage
