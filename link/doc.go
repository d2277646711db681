// Package link carries messages between the processes of camphorwick. A pair
// of processes holds two sessions, each one TCP connection with yamux on top:
// a control session for heartbeats and configuration, and a data session for
// prompts and tokens, so that a large prompt never delays a heartbeat. A Node
// keeps the sessions to a set of targets alive and suspects peers that it has
// not heard from.
//
// Lock order: Node.mu before peer.mu; neither is held during input or output.
package link
