package deployment

import "github.com/pistachiolead/pistachiolead/intake"

// lastForecast returns the last known forecast of the leader. Its time tells whether it may still be used.
func (v *VM) lastForecast() intake.Forecast {
	if f := v.forecast.Load(); f != nil {
		return *f
	}
	return intake.Forecast{}
}

// observeForecast keeps the forecast of a term row, unless that row or a later one is known already: the time counts from when a
// version was first known, also by the leader itself.
func (v *VM) observeForecast(f intake.Forecast) {
	if last := v.forecast.Load(); last == nil || f.Version > last.Version {
		v.forecast.Store(&f)
	}
}

// shareForecast gives the forecast of this leader to the entry VM.
func (c *controller) shareForecast() {
	version := c.state.Term.Version()
	c.vm.handler.ObserveVersion(version)
	waits, at := c.state.Waits()
	c.vm.forecast.Store(&intake.Forecast{Waits: waits, Version: version, Since: at})
}
