// Package link carries messages between the processes of camphorwick. Each pair
// of processes has two sessions, each of them yamux over one TCP connection: a
// control session for heartbeats and configuration, and a data session for
// prompts and tokens, so that a large prompt never delays a heartbeat. A Node
// maintains the sessions to a set of targets and suspects peers whose
// heartbeats are missing.
//
// Lock order: Node.mu before peer.mu; neither is held during I/O.
package link
