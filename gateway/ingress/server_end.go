package ingress

import (
	"log/slog"

	"camphorwick.dev/gateway/schedule"
)

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// serverEnded reports whether the process of a server has ended whose answer broke off or
// did not come. It asks by a connection, because a connection may also end alone.
func (x *exchange) serverEnded(a *schedule.Assignment) bool {
	return x.end.ending == endingServerGone || x.g.Client.Refuses(x.ctx, a.Server.Address)
}

// partsAttr returns the field of a log line with the parts of the prompt, none if it has
// no shared parts.
func (x *exchange) partsAttr() slog.Attr {
	parts := x.meta.SharedParts
	if len(parts) == 0 {
		return slog.Attr{}
	}
	return slog.Any("shared_parts", parts[:min(len(parts), maxLoggedParts)])
}

// serverEndAttr returns the fields of a log line about an answer that broke off or did
// not come: whether its server has ended, and the parts of the prompt. It has none for a
// prompt without shared parts.
func (x *exchange) serverEndAttr(a *schedule.Assignment) slog.Attr {
	if len(x.meta.SharedParts) == 0 {
		return slog.Attr{}
	}
	return slog.Group("", "server_ended", x.serverEnded(a), x.partsAttr())
}
