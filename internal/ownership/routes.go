package ownership

import (
	"time"

	"kumquatcleat/internal/backend"
)

// Role is the role of a replica in its group.
type Role int

const (
	// RoleNone is neither the keeper nor the standby.
	RoleNone Role = iota
	// RoleStandby monitors the keeper and takes over when it is lost.
	RoleStandby
	// RoleHoldOver is a standby that renews grants while its keeper is silent.
	RoleHoldOver
	// RoleWaiting is the keeper in the row that may not decide now or is recovering.
	RoleWaiting
	// RoleKeeper decides and grants.
	RoleKeeper
	// RoleCeding is handing the group over and no longer decides.
	RoleCeding
	// RoleStopped has stopped for good.
	RoleStopped
)

var roleNames = [...]string{"none", "standby", "hold-over", "waiting", "keeper", "ceding", "stopped"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// Role returns the role at the time of the last Step.
func (r *Replica) Role() Role {
	switch {
	case r.stopped:
		return RoleStopped
	case !r.deciding() && r.keeper != nil:
		return RoleCeding
	case r.mayDecide() && !r.keeper.recovering:
		return RoleKeeper
	case r.keeper != nil:
		return RoleWaiting
	case r.standby != nil && r.mayHoldOver():
		return RoleHoldOver
	case r.standby != nil:
		return RoleStandby
	default:
		return RoleNone
	}
}

// Routes returns the owner of each slot for the VM that asks. To servers that do not
// check grants, the VM may send requests until the returned lease expires; the replica
// waits for that before it moves their slots. One end time covers the leases of all
// VMs, so leaseTo is not used.
func (r *Replica) Routes(now Instant, leaseTo VMRef) Routes {
	r.now = max(r.now, now)
	switch r.Role() {
	case RoleKeeper:
		return r.keeperRoutes()
	case RoleHoldOver:
		return r.holdOverRoutes()
	default:
		return Routes{Group: r.group, Hint: r.keeperHint()}
	}
}

// keeperHint returns the keeper that the row names, unless it is this VM.
func (r *Replica) keeperHint() VMRef {
	row := r.table.row
	if row == nil || row.Keeper == r.self {
		return VMRef{}
	}
	return row.Keeper
}

// keeperRoutes returns the routes of the newest committed row.
func (r *Replica) keeperRoutes() Routes {
	k := r.keeper
	k.routeLeasesEnd = max(k.routeLeasesEnd, r.now+r.stretch(r.timing.RouteLease))
	routes := r.routesOf(k.committed)
	routes.Version += k.routeChanges
	for i := range routes.Slots {
		route := &routes.Slots[i]
		route.Moving = route.Moving || r.checks(route.Server.ID) && !k.accepts(*route)
	}
	return routes
}

// accepts reports whether the owner of a slot accepted its grant.
func (k *keeperState) accepts(route Route) bool {
	s := k.servers[route.Server.ID]
	return s != nil && s.accepted != backend.Token{} && !s.accepted.Less(route.Token)
}

// routeVersionBits is the width of the counter for the route changes of one keeper.
// With a smaller counter, the versions of two keepers could collide.
const routeVersionBits = 32

// routesOf returns the routes that follow from a row.
func (r *Replica) routesOf(row *GroupRow) Routes {
	moving := movingSlots(row)
	routes := Routes{
		Group:   r.group,
		Keeper:  true,
		Version: row.Epoch << routeVersionBits,
		Token:   row.Token(),
		Slots:   make([]Route, 0, len(row.Slots)),
		Lease:   r.timing.RouteLease,
	}
	for _, so := range row.Slots {
		route := Route{Slot: so.Slot, Server: so.Owner, Token: so.Token}
		route.Moving = so.Owner.IsZero() || moving[so.Slot]
		routes.Slots = append(routes.Slots, route)
	}
	return routes
}

// ServerStatus is what a keeper knows about a server.
type ServerStatus struct {
	Server    ServerRef
	Slots     int
	Answers   bool
	LeaseLeft time.Duration // how long a lease may still be valid
}

// Status is the state of a replica as shown to operators.
type Status struct {
	Group     string
	Role      Role
	Keeper    VMRef
	Standby   VMRef
	Token     backend.Token
	Outage    bool          // the decision lease comes from the standby
	LeaseLeft time.Duration // how long this replica may still decide
	Servers   []ServerStatus
	Moves     []Move
}

// Status returns the state of the replica at the given time.
func (r *Replica) Status(now Instant) Status {
	r.now = max(r.now, now)
	st := Status{Group: r.group, Role: r.Role(), Token: r.currentToken()}
	row := r.table.row
	if r.keeper != nil {
		row = r.keeper.committed
		st.LeaseLeft = max(0, r.decisionLeaseEnd()-r.now)
		st.Outage = r.now >= r.keeper.tableLeaseEnd && st.LeaseLeft > 0
		st.Servers = r.serverStatus()
	}
	if row != nil {
		st.Keeper = row.Keeper
		st.Standby = row.Standby
		st.Moves = row.Moves
	}
	return st
}

func (r *Replica) serverStatus() []ServerStatus {
	var list []ServerStatus
	for _, id := range r.keeper.serverIDs {
		s := r.keeper.servers[id]
		list = append(list, ServerStatus{
			Server:    s.ref(id),
			Slots:     len(s.set),
			Answers:   r.responsive(s),
			LeaseLeft: max(0, s.leaseEnd-r.now),
		})
	}
	return list
}
