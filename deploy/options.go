package deploy

// Options changes how a deployment is started.
type Options struct {
	// Binary is the geraniumpass program.
	Binary string
	// Dir takes settings and logs.
	Dir string
	// Relays puts a relay before every agent and before the key-value service.
	Relays bool
	// NoConfiguration leaves it to the caller to apply the first configuration.
	NoConfiguration bool
}
