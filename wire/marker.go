package wire

// phaseMarker is a connection whose listener closes links that are not authenticated before others.
type phaseMarker interface {
	MarkHandshake()
	MarkRunning()
}

// noMarker stands for connections of listeners that don't distinguish links.
type noMarker struct{}

// MarkHandshake implements phaseMarker.
func (noMarker) MarkHandshake() {}

// MarkRunning implements phaseMarker.
func (noMarker) MarkRunning() {}
