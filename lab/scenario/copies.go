package scenario

import "fmt"

// expandCopies puts what stands for many in a day's file in the place of it: services
// with their servers and classes' requests divided among them, and tenants with their
// share.
func (d *Day) expandCopies() error {
	services, copiesOf, err := expandServices(d.Services)
	if err != nil {
		return err
	}
	tenants, err := expandTenants(d.Tenants)
	if err != nil {
		return err
	}
	d.Services, d.Classes, d.Tenants = services, expandClasses(d.Classes, copiesOf), tenants
	return nil
}

// copyName is the name of the i-th copy, from 0.
func copyName(name string, i int) string { return fmt.Sprintf("%s-%d", name, i+1) }

// expandServices also returns the names of each service's copies.
func expandServices(services []Service) (expanded []Service, copiesOf map[string][]string, err error) {
	copiesOf = map[string][]string{}
	for i, v := range services {
		if v.Copies < 0 || v.Copies > min(maxCopies, max(1, v.Servers)) {
			return nil, nil, fmt.Errorf("services.%d.copies: %d: from 0 to the number of servers", i, v.Copies)
		}
		if v.Copies == 0 {
			expanded = append(expanded, v)
			continue
		}
		for k := range v.Copies {
			c := v
			c.Name, c.Copies = copyName(v.Name, k), 0
			c.Servers = v.Servers*(k+1)/v.Copies - v.Servers*k/v.Copies
			expanded = append(expanded, c)
			copiesOf[v.Name] = append(copiesOf[v.Name], c.Name)
		}
	}
	return expanded, copiesOf, nil
}

// expandClasses has each copy of a service asked by a class of its own.
func expandClasses(classes []Class, copiesOf map[string][]string) []Class {
	var expanded []Class
	for _, c := range classes {
		services := copiesOf[c.Service]
		if services == nil {
			expanded = append(expanded, c)
		}
		for k, service := range services {
			o := c
			o.Name, o.Service, o.PerS = copyName(c.Name, k), service, c.PerS/float64(len(services))
			expanded = append(expanded, o)
		}
	}
	return expanded
}

func expandTenants(tenants []Tenant) ([]Tenant, error) {
	var expanded []Tenant
	for i, t := range tenants {
		if t.Copies < 0 || t.Copies > maxCopies {
			return nil, fmt.Errorf("tenants.%d.copies: %d: from 0 to %d", i, t.Copies, maxCopies)
		}
		if t.Copies == 0 {
			expanded = append(expanded, t)
			continue
		}
		for k := range t.Copies {
			c := t
			c.Name, c.Share, c.Copies = copyName(t.Name, k), t.Share/float64(t.Copies), 0
			expanded = append(expanded, c)
		}
	}
	return expanded, nil
}
