package standin

import "encoding/json"

// Keys and accounts of the callers.
var (
	keyOf     = map[string]string{"tenant-a": "key-of-tenant-a", "tenant-b": "key-of-tenant-b"}
	bodyLimit = 4194304
)

// configure writes the operator's configuration: idempotent requests under /stock/ and
// orders under /order/ to the service desk, resumable streams under /stream/ to the
// service llm, which runs model engines.
func (b *bench) configure() {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 10000,
			"targetLatencyMs": 2000, "priority": 1, "maxAttempts": 2, "public": false}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	engine := map[string]any{"slotCount": 16, "kvCapacity": 315000, "stepCount": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
		"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "hopMs": 0.05}
	config := map[string]any{"version": 3,
		"routeTable": []any{
			route("stock", "/stock/", "idempotent", "desk", nil),
			route("order", "/order/", "non_idempotent", "desk", map[string]any{"maxAttempts": 1, "targetLatencyMs": 300, "timeoutMs": 5000}),
			route("stream", "/stream/", "streaming", "llm", map[string]any{"resumable": true, "sticky": true, "gapTargetMs": 1000}),
		},
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 424},
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConns": 424, "engineName": engine},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "tenant-a", "apiKeys": []string{keyOf["tenant-a"]}},
			map[string]any{"name": "tenant-b", "apiKeys": []string{keyOf["tenant-b"]}},
		}}
	value, _ := json.Marshal(config)
	b.store.put("op/config", value)
	b.log("store: configuration version 3")
}
