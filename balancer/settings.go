package balancer

import (
	"errors"
	"fmt"
)

// checkSettings returns an error that names the invalid setting.
func checkSettings(s Settings) error {
	switch {
	case s.Balancers < 1:
		return errors.New("balancers must be at least 1")
	case s.Position < 0 || s.Position >= s.Balancers:
		return fmt.Errorf("position %d is out of range: there are %d balancers", s.Position, s.Balancers)
	case len(s.Classes) == 0:
		return errors.New("request_classes is empty")
	case len(s.Plans) == 0:
		return errors.New("packages is empty")
	case s.ServerLimits.SlowStartShare < 0 || s.ServerLimits.SlowStartShare > 1:
		return fmt.Errorf("cold_share %g is not between 0 and 1", s.ServerLimits.SlowStartShare)
	}
	for i, c := range s.Classes {
		if c.LatencyTargetMs <= 0 || c.DeadlineMs <= 0 {
			return fmt.Errorf("request_classes.%d: promise_ms and deadline_ms must be above 0", i)
		}
	}
	for i, p := range s.Plans {
		if err := checkPlan(p); err != nil {
			return fmt.Errorf("packages.%d: %w", i, err)
		}
	}
	return nil
}

func checkPlan(p Plan) error {
	if p.Rate < 0 || p.Burst < 0 || p.MaxInFlight < 0 || p.HardRate < 0 || p.HardBurst < 0 {
		return errors.New("quotas must not be negative")
	}
	if p.Rate > 0 && p.Burst <= 0 {
		return errors.New("burst must be above 0 if per_second is")
	}
	return nil
}
