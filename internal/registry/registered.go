package registry

// Registered returns all registered servers of a service, whether they may receive requests or not,
// in no particular order.
func (r *Registry) Registered(service string) []*Server {
	var list []*Server
	for _, s := range r.current.Load().servers {
		if s.Service == service {
			list = append(list, s)
		}
	}
	return list
}
