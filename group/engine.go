package group

import (
	"context"

	"geraniumpass/shift"
)

// Engine controls the model server of one rank.
type Engine interface {
	// Report reads the engine's state.
	Report(ctx context.Context) (Report, error)
	// Counts reads how often each expert was chosen, set after set.
	Counts(ctx context.Context) ([]int64, error)
	// Lists reads the version of the map in use and this rank's experts in it, by set.
	Lists(ctx context.Context) (int64, [][]int, error)
	// Do sends the engine an order and reports whether the engine accepted it. After an error the
	// order may still be executed, even later.
	Do(ctx context.Context, o shift.Order, layout [][][]int) (bool, error)
}
