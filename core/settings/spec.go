package settings

// Type says how the value of a key is written.
type Type string

// Types of values.
const (
	TypeName          Type = "name"
	TypeText          Type = "text"
	TypeChoice        Type = "choice"
	TypeFlag          Type = "flag"
	TypeCount         Type = "count"
	TypeNumber        Type = "number"
	TypeRate          Type = "rate"
	TypeTokens        Type = "tokens"
	TypeDuration      Type = "duration"
	TypeSize          Type = "size"
	TypeAddress       Type = "address"
	TypeListenAddress Type = "listen-address"
	TypeNames         Type = "list of names"
	TypeRoutes        Type = "list of routes"
	TypeUpstreams     Type = "list of upstreams"
	TypeTree          Type = "tree"
)

// Spec defines a key once for checking, inheritance and the reference.
type Spec struct {
	Name string `json:"name"`
	Type Type   `json:"type"`
	// Default is written as in a document; it is empty where there is none.
	Default string `json:"default,omitempty"`
	// Min and Max are written as in a document.
	Min string `json:"min,omitempty"`
	Max string `json:"max,omitempty"`
	// Choices are the allowed values of a choice.
	Choices []string `json:"choices,omitempty"`
	// Inherited keys hold for all descendants that do not set them.
	Inherited bool `json:"inherited"`
	// Required keys have to be set.
	Required bool `json:"required"`
	// Kind is the only kind of service that the key applies to, if any.
	Kind Kind   `json:"kind,omitempty"`
	Doc  string `json:"doc"`
}

// Key is a definition with the field of T that the key's value goes to.
type Key[T any] struct {
	Spec
	// Set is nil for keys whose value goes to no field.
	Set func(*T, Value)
}

// SpecsOf returns the definitions of keys without their fields.
func SpecsOf[T any](keys []Key[T]) []Spec {
	specs := make([]Spec, len(keys))
	for i, key := range keys {
		specs[i] = key.Spec
	}

	return specs
}

// Scope is a part of a document with keys of its own.
type Scope struct {
	Name string `json:"name"`
	Doc  string `json:"doc"`
	Keys []Spec `json:"keys"`
}

// Scopes returns the parts of a fleet's settings document.
func Scopes() []Scope {
	return []Scope{
		{Name: "fleet", Doc: "The top of the document.", Keys: SpecsOf(fleetKeys)},
		{Name: "workspace", Doc: "Each entry of `workspaces`.", Keys: SpecsOf(workspaceKeys)},
		{Name: "service", Doc: "Each entry of `services`.", Keys: SpecsOf(serviceKeys)},
		{Name: "upstream", Doc: "Each item of a service's `upstreams`.", Keys: SpecsOf(upstreamKeys)},
	}
}
