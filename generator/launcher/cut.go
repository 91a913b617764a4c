package launcher

import "context"

// CutDataCentre cuts the first data centre off.
func (f *Fleet) CutDataCentre(ctx context.Context) error { return f.links.cut(ctx) }

// JoinDataCentre ends the cut.
func (f *Fleet) JoinDataCentre(ctx context.Context) error { return f.links.join(ctx) }
