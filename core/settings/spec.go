package settings

// Type is the type of a key's value, with its syntax in a document.
type Type string

// Value types; their texts appear in the JSON schema.
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

// Spec defines a key; validation, inheritance and the reference all use it.
type Spec struct {
	Name string `json:"name"`
	Type Type   `json:"type"`
	// Default is the default in document syntax, or empty if there is none.
	Default string `json:"default,omitempty"`
	// Min and Max are the inclusive limits in document syntax, or empty if there are none.
	Min string `json:"min,omitempty"`
	Max string `json:"max,omitempty"`
	// Choices are the allowed values of a key of TypeChoice.
	Choices []string `json:"choices,omitempty"`
	// Inherited is true if the value applies to all descendants that do not set the key.
	Inherited bool `json:"inherited"`
	// Required is true if the key must be set.
	Required bool `json:"required"`
	// Kind is the only kind of service that the key applies to, or empty if it applies to all.
	Kind Kind   `json:"kind,omitempty"`
	Doc  string `json:"doc"`
}

// Key is a Spec with a setter for the field of T that holds the key's value.
type Key[T any] struct {
	Spec
	// Set assigns the value to its field; it is nil if no field holds the value.
	Set func(*T, Value)
}

// SpecsOf returns the specs of keys without their setters.
func SpecsOf[T any](keys []Key[T]) []Spec {
	specs := make([]Spec, len(keys))
	for i, key := range keys {
		specs[i] = key.Spec
	}

	return specs
}

// Scope is a kind of mapping in a document with its own set of keys, such as each workspace.
type Scope struct {
	Name string `json:"name"`
	Doc  string `json:"doc"`
	Keys []Spec `json:"keys"`
}

// Scopes returns the scopes of a fleet's settings document.
func Scopes() []Scope {
	return []Scope{
		{Name: "fleet", Doc: "The top of the document.", Keys: SpecsOf(fleetKeys)},
		{Name: "workspace", Doc: "Each entry of `workspaces`.", Keys: SpecsOf(workspaceKeys)},
		{Name: "service", Doc: "Each entry of `services`.", Keys: SpecsOf(serviceKeys)},
		{Name: "upstream", Doc: "Each item of a service's `upstreams`.", Keys: SpecsOf(upstreamKeys)},
	}
}
