package soak_test

// zones are the availability zones of the backend servers.
var zones = []string{"z0", "z1"}

// changeEvacuations evacuates a zone now and then, or returns all zones. Half of the returns are shown by no feed.
func (b *testbed) changeEvacuations() {
	switch b.operations.IntN(10) {
	case 0:
		b.store.Put("op", "evacuate/"+zones[b.operations.IntN(len(zones))], map[string]any{})
	case 1:
		b.endEvacuations()
	case 2:
		for _, zone := range zones {
			b.store.Remove("op", "evacuate/"+zone)
		}
	}
}

// endEvacuations returns all zones to service, and drops the history that shows it.
func (b *testbed) endEvacuations() {
	for _, zone := range zones {
		b.store.RemoveUnseen("op", "evacuate/"+zone)
	}
}
