package document

import (
	"fmt"
	"time"

	steershift "github.com/cardamomfront/cardamomfront/steer/shift"
)

// shifts checks shifts and that a service has at most one.
func (c *checker) shifts() error {
	shifts, services := firstUses{}, map[string]string{}
	for i, shift := range c.doc.Shifts {
		path := fmt.Sprintf("$.shifts[%d]", i)
		if err := c.unique(shifts, "shift", path+".name", shift.Name); err != nil {
			return err
		}
		if other, used := services[shift.Service]; used {
			return c.failf(path+".service", "shifts %q and %q are both on service %q", other, shift.Name, shift.Service)
		}
		services[shift.Service] = shift.Name
		if err := c.shiftTarget(path, shift); err != nil {
			return err
		}
		if err := c.stages(path, shift); err != nil {
			return err
		}
	}
	return nil
}

// shiftTarget checks that the new version exists and is not the serving one.
func (c *checker) shiftTarget(path string, shift Shift) error {
	service := c.doc.service(shift.Service)
	if service == nil {
		return c.failf(path+".service", "there is no service %q", shift.Service)
	}
	if service.version(shift.To) == nil {
		return c.failf(path+".to", "service %q has no version %q", shift.Service, shift.To)
	}
	if service.Serving == shift.To {
		return c.failf(path+".to", "version %q serves already", shift.To)
	}
	return nil
}

// stages checks that the caps rise to 100% and that the stages end before the
// deadline. Each stage takes at least the cache warm-up time, and completion
// must be recorded early enough for all instances to know it before the
// deadline.
func (c *checker) stages(path string, shift Shift) error {
	if len(shift.Stages) == 0 {
		return c.failf(path+".stages", "shift %q has no stage", shift.Name)
	}
	tuning := steershift.DefaultTuning()
	var previousCap Percent
	var holds time.Duration
	for i, stage := range shift.Stages {
		at := fmt.Sprintf("%s.stages[%d].cap", path, i)
		if stage.Cap <= previousCap {
			return c.failf(at, "cap %s does not rise above %s", stage.Cap, previousCap)
		}
		previousCap = stage.Cap
		holds += max(stage.Hold.Std(), tuning.WarmUp)
	}
	if previousCap != HundredPercent {
		at := fmt.Sprintf("%s.stages[%d].cap", path, len(shift.Stages)-1)
		return c.failf(at, "the last cap is %s; it must be %s", previousCap, HundredPercent)
	}
	if shift.Start.IsZero() {
		return c.failf(path+".start", "start is missing")
	}
	if shift.Deadline.IsZero() {
		return c.failf(path+".deadline", "deadline is missing")
	}
	if least := holds + tuning.Guard; shift.Deadline.Sub(shift.Start) < least {
		return c.failf(path+".deadline", "the stages and the time to record completion take %s at least; the deadline is %s after the start",
			least, shift.Deadline.Sub(shift.Start))
	}
	return nil
}

// drains checks drains and that every service and every shift keeps endpoints.
func (c *checker) drains() error {
	drained := map[string]Drain{}
	for i, drain := range c.doc.Drains {
		path := fmt.Sprintf("$.drains[%d]", i)
		if err := c.drain(path, drain, drained); err != nil {
			return err
		}
		drained[drain.Region] = drain
		if err := c.checkServicesRemain(path, drain, drained); err != nil {
			return err
		}
		if err := c.checkShiftsRemain(path, drain, drained); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) drain(path string, drain Drain, drained map[string]Drain) error {
	if !c.knownRegion(drain.Region) {
		return c.failf(path+".region", "there is no region %q", drain.Region)
	}
	if _, twice := drained[drain.Region]; twice {
		return c.failf(path+".region", "region %q is drained twice", drain.Region)
	}
	if drain.From.IsZero() {
		return c.failf(path+".from", "from is missing")
	}
	if !drain.Deadline.After(drain.From) {
		return c.failf(path+".deadline", "the deadline is not after the start of the drain")
	}
	return nil
}

func (c *checker) knownRegion(name string) bool {
	for _, region := range c.doc.Regions {
		if region.Name == name {
			return true
		}
	}
	return false
}

// checkServicesRemain refuses a drain that leaves the serving version of a
// service without an endpoint.
func (c *checker) checkServicesRemain(path string, drain Drain, drained map[string]Drain) error {
	for i := range c.doc.Services {
		service := &c.doc.Services[i]
		if !c.hasEndpointOutside(service.version(service.Serving), drained) {
			return c.failf(path+".region", "with region %q drained, service %q has no endpoint left", drain.Region, service.Name)
		}
	}
	return nil
}

// checkShiftsRemain refuses a drain that begins before a shift's watch period
// ends and leaves the shift's new version without an endpoint.
func (c *checker) checkShiftsRemain(path string, drain Drain, drained map[string]Drain) error {
	for _, shift := range c.doc.Shifts {
		end := shift.Deadline.Add(shift.Watch.Std())
		during := map[string]Drain{}
		for region, other := range drained {
			if other.From.Before(end) {
				during[region] = other
			}
		}
		version := c.doc.service(shift.Service).version(shift.To)
		if !c.hasEndpointOutside(version, during) {
			return c.failf(path+".region", "region %q can't be drained: shift %q needs its endpoints of version %q",
				drain.Region, shift.Name, shift.To)
		}
	}
	return nil
}

// hasEndpointOutside reports whether a version has an endpoint outside the
// drained regions.
func (c *checker) hasEndpointOutside(version *Version, drained map[string]Drain) bool {
	for _, endpoint := range version.Endpoints {
		if _, out := drained[c.region[endpoint.FailureDomain]]; !out {
			return true
		}
	}
	return false
}
