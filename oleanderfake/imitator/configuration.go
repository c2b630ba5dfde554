package imitator

import "cmp"

type (
	configurationSpec struct {
		Version  int           `json:"version"`
		Routes   []routeSpec   `json:"routes"`
		Services []serviceSpec `json:"services"`
		Limits   limitsSpec    `json:"limits"`
		Tenants  []tenantSpec  `json:"tenants"`
	}
	routeSpec struct {
		Name          string `json:"name"`
		Hostname      string `json:"hostname"`
		PathPrefix    string `json:"path_prefix"`
		RouteType     string `json:"route_type"`
		Service       string `json:"service"`
		TimeoutMS     int    `json:"timeout_ms"`
		TargetLatency int    `json:"target_latency_ms"`
		MaxAttempts   int    `json:"max_attempts"`
		StreamResume  bool   `json:"stream_resume"`
		GapAimMS      int    `json:"gap_aim_ms"`
		Priority      int    `json:"priority"`
		Anonymous     bool   `json:"anonymous"`
	}
	serviceSpec struct {
		Name           string      `json:"name"`
		MaxConnections int         `json:"max_connections"`
		HealthPath     string      `json:"health_path"`
		Engine         *engineSpec `json:"engine,omitempty"`
	}
	engineSpec struct {
		Slots           int         `json:"slots"`
		TokenBytes      float64     `json:"kv_token_bytes"`
		Stride          int         `json:"stride"`
		StepMS          float64     `json:"step_ms"`
		PerSequenceMS   float64     `json:"per_seq_ms"`
		ReadPerSecond   float64     `json:"read_per_s"`
		Layers          int         `json:"layers"`
		LayerMB         float64     `json:"layer_mb"`
		ActivationBytes float64     `json:"activation_bytes"`
		PipeMbps        float64     `json:"pipe_mbps"`
		LoadsAtOnce     int         `json:"loads_at_once"`
		Models          []modelSpec `json:"models"`
		Usual           usualSpec   `json:"usual"`
		Kinds           []kindSpec  `json:"kinds"`
	}
	modelSpec struct {
		Name        string  `json:"name"`
		LoadSeconds float64 `json:"load_s"`
	}
	usualSpec struct {
		Prompt int `json:"prompt"`
		Answer int `json:"answer"`
	}
	kindSpec struct {
		Name string  `json:"name"`
		MB   float64 `json:"mb"`
		Pace float64 `json:"pace"`
	}
	limitsSpec struct {
		HeaderBytes   int `json:"max_header_bytes"`
		BodyBytes     int `json:"max_body_bytes"`
		HeaderTimeout int `json:"header_timeout_ms"`
		IdleTimeout   int `json:"idle_timeout_ms"`
	}
	tenantSpec struct {
		Name string   `json:"name"`
		Keys []string `json:"api_keys"`
	}
)

// Configure writes a new version of the configuration in which the keys are valid.
func (s *Site) Configure(keys ...string) {
	s.mu.Lock()
	// The platform may increase the version by more than 1.
	s.version += 2
	version := s.version
	s.mu.Unlock()
	route := func(prefix, kind, service string, attempts, priority int) routeSpec {
		return routeSpec{
			Name: "route" + prefix, Hostname: Host, PathPrefix: prefix, RouteType: kind, Service: service, Priority: priority,
			TimeoutMS: 10000, TargetLatency: 500, MaxAttempts: attempts, StreamResume: service == modelService, GapAimMS: 200, Anonymous: prefix == OpenPath,
		}
	}
	c := configurationSpec{
		Version: version,
		Routes: []routeSpec{
			route(ModelPath, "streaming", modelService, 2, 1),
			route(UrgentPath, "streaming", modelService, 2, 0),
			route(BookPath, "unsafe", plainService, 1, 1),
			route(StatusPath, "safe", plainService, 2, 1),
			route(OpenPath, "safe", plainService, 2, 1),
		},
		Services: []serviceSpec{
			{Name: modelService, MaxConnections: 100, HealthPath: healthPath, Engine: &engineSpec{
				Slots: 64, TokenBytes: 8000, Stride: 1, StepMS: 1, PerSequenceMS: 0.01, ReadPerSecond: 100000,
				Layers: ModelLayers, LayerMB: 100, ActivationBytes: 1000, PipeMbps: 10000, LoadsAtOnce: 4,
				Models: []modelSpec{{Name: "m", LoadSeconds: 0.4}}, Usual: usualSpec{Prompt: 100, Answer: 50},
				Kinds: []kindSpec{{Name: acceleratorKind, MB: 700, Pace: 1}},
			}},
			{Name: plainService, MaxConnections: 50, HealthPath: healthPath},
		},
		Limits:  limitsSpec{HeaderBytes: 16384, BodyBytes: cmp.Or(s.options.BodyBytes, 65536), HeaderTimeout: 3000, IdleTimeout: 5000},
		Tenants: []tenantSpec{{Name: Account, Keys: keys}},
	}
	s.mu.Lock()
	s.configuration = c
	s.mu.Unlock()
	s.Store.Put(KindConfiguration, "main", c)
}
