package quarantine

import (
	"encoding/json"
	"net/http"
	"time"
)

// shownEntry is an entry as operators see it.
type shownEntry struct {
	Entry
	AgeSeconds float64 `json:"age_s"`
	// Stored is false while the entry has not been read from the store.
	Stored bool `json:"stored"`
}

// ServeHTTP serves operators: GET lists the quarantined parts as a JSON array, with their
// evidence and age. DELETE with the part in the query ends its quarantine on all gateways;
// its status is 204, or 404 if the part is not quarantined.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		l.show(w)
	case http.MethodDelete:
		if !l.Lift(r.URL.Query().Get("part"), "an operator has ended it") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", "GET, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (l *List) show(w http.ResponseWriter) {
	shown := []shownEntry{}
	for _, e := range l.Entries() {
		shown = append(shown, shownEntry{Entry: e, AgeSeconds: time.Since(e.Since).Seconds(), Stored: l.isStored(e.Part)})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(shown); err != nil {
		l.Log.Debug("quarantined parts not shown", "error", err.Error())
	}
}

func (l *List) isStored(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.entries[part]
	return r != nil && r.revision != 0
}
