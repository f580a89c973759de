package deploy

// Options configures how a deployment is started.
type Options struct {
	// Binary is the path of the geraniumpass binary.
	Binary string
	// Dir is the directory for settings files and logs.
	Dir string
	// Relays puts a relay in front of every agent and of the key-value service.
	Relays bool
	// NoConfiguration leaves applying the initial configuration to the caller.
	NoConfiguration bool
}
