package main

// The names of the deployment that the stand-ins play.
const (
	host        = "press.example"
	draftPrefix = "/draft/"
	orderPrefix = "/commit/"
	readPrefix  = "/sheet/"
	modelName   = "words"
	plainName   = "press"
	layers      = 8
)

type object = map[string]any

// configuration returns a configuration like that of a small site.
func configuration(version int) object {
	return object{
		"version": version,
		"routes": []object{
			{"name": "r-draft", "host": host, "prefix": draftPrefix, "kind": "streaming", "timeout_ms": 20000, "goal_ms": 500, "priority": 0, "service": modelName, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 200},
			{"name": "r-commit", "host": host, "prefix": orderPrefix, "kind": "non_idempotent", "timeout_ms": 800, "goal_ms": 150, "priority": 2, "service": plainName, "attempts": 1, "public": false},
			{"name": "r-sheet", "host": host, "prefix": readPrefix, "kind": "idempotent", "timeout_ms": 800, "goal_ms": 150, "priority": 2, "service": plainName, "attempts": 2, "public": false},
		},
		"services": []object{
			{"name": modelName, "health_path": "/health", "max_conns": 1048, "protocol": "h1", "tls": false, "engine": object{
				"slots": 192, "kv_tokens": 100000, "kv_bytes": 918000, "link_mbps": 400000.0, "stride": 3,
				"models":  []object{{"name": "words-1", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}},
				"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309,
				"chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5,
				"delays": []object{}, "usual": object{"prompt": 774, "answer": 203},
				"layers": layers, "layer_mb": 1750.0, "act_bytes": 45900, "pipe_mbps": 18000.0,
				"kinds": []object{{"name": "a100", "mb": 72000.0, "pace": 1.0, "read_x": 1.0}},
			}},
			{"name": plainName, "health_path": "/health", "max_conns": 520, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "t0", "api_keys": []string{tenantKey(0)}, "priority": 1}, {"name": "t1", "api_keys": []string{tenantKey(1)}}},
	}
}
