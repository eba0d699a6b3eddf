package remote

import "github.com/pistachiolead/pistachiolead/provider"

type shapeWire struct {
	Processors   int `json:"processors,omitempty"`
	MemoryMiB    int `json:"memory-mib,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	Slots        int `json:"slots,omitempty"`
}

func newShapeWire(s provider.Shape) shapeWire {
	return shapeWire{
		Processors: s.Processors(), MemoryMiB: s.MemoryMiB(), Accelerators: s.Accelerators(), Slots: s.Slots(),
	}
}

func (w shapeWire) shape() provider.Shape {
	return provider.NewShape(w.Processors, w.MemoryMiB, w.Accelerators, w.Slots)
}
