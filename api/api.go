// Package api defines the data that the processes of the system exchange with each other, with
// operators and with the platform: the configuration as operators send it, the platform's server
// list, and the gRPC messages between the system's own processes. All of it is encoded in
// CBOR (RFC 8949). A process that serves clients is called a limiter or a gateway; a process may
// also contain a member of the control plane.
//
// There are three gRPC services: [Control] is served by each member of the control plane,
// [Bootstrap] and [Membership] by every process.
// Servers are created with [NewServer] and [Listen]; RegisterControl, RegisterBootstrap and
// RegisterMembership add the services. Clients take a connection from a [ConnPool] and use
// the Call functions; the context's deadline bounds each call.
//
// Compatibility: during a rolling upgrade, processes of this version work together with
// those of the previous one. CBOR keys, service names and method names never change, and new
// fields are optional. Where a Go name differs from the name on the wire, the wire keeps the
// older one (for example, ReadIndex is the method "Confirm").
package api
