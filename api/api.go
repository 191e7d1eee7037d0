// Package api holds what the processes of the system and their callers exchange: the
// configuration of the gateway as operators send it, the platform's list of servers, and
// the gRPC messages between the system's own processes. Everything is encoded in CBOR
// (RFC 8949).
//
// Three services exist. [Control] is served by each member of the control plane,
// [Bootstrap] by each machine that may become one, and [Membership] by every process. A
// server is made with [NewServer], listens with [Listen], and gets its services with
// RegisterControl, RegisterBootstrap and RegisterMembership. A client takes a connection
// from a [ConnPool] and uses the Call functions; the deadline of the context bounds each
// call.
//
// Compatibility: processes of the version before and of this one work together during a
// rolling upgrade. CBOR keys, the names of services and the names of methods never change;
// new fields are optional. Where a Go name differs from the name on the wire, the wire has
// the older one (for example, ReadIndex is the method "Confirm").
package api
