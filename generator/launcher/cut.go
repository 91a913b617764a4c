package launcher

import "context"

// CutDataCentre cuts the first data centre off.
func (f *Fleet) CutDataCentre(ctx context.Context) error { return f.links.cut(ctx) }

// JoinDataCentre ends the cut.
func (f *Fleet) JoinDataCentre(ctx context.Context) error { return f.links.join(ctx) }

// CutOutgoing loses what the daemon sends to others.
func (d *Daemon) CutOutgoing(ctx context.Context) error { return d.fleet.links.cut(ctx) }

// JoinOutgoing ends the cut.
func (d *Daemon) JoinOutgoing(ctx context.Context) error { return d.fleet.links.join(ctx) }
