// Package emulator plays a day with a fleet of real gateway processes on loopback and
// with stand-ins for all that they meet: clients, servers, the platform that lists the
// servers, and an operator. [checker.Log] judges what those parties see.
//
// [NewFleet] lays a fleet out in a folder, [Fleet.RollOut] asks for a roll-out of another
// build after the day, and [Fleet.Run] plays it. [Client] alone sends the requests of a
// day to any running system.
//
// Machines have addresses of their own in 127.0.0.0/8, so Linux is needed.
package emulator
