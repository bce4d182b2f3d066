package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

var quotaSettings = quota.Settings{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}

// startTenant starts targets on all nodes and a tenant with a quota, and returns the index of its owner.
func startTenant(sim *simulation) int {
	sim.startTargets("v1")
	sim.put("op/configuration", model.Configuration{
		Number: 2, Services: []model.Service{{Name: "profiles"}},
		Tenants: []model.Tenant{{Name: "t", RatePerSecond: 100, Burst: 100}},
	})
	sim.run(6 * time.Second)
	return ownerAmong(sim, func(*node) bool { return true })
}

// ownerAmong returns the index of the node with the highest weight of those that are counted.
func ownerAmong(sim *simulation, counted func(*node) bool) int {
	owner := -1
	for i, n := range sim.nodes {
		if counted(n) && (owner < 0 ||
			quota.Weight("t", n.view.Local.Daemon) > quota.Weight("t", sim.nodes[owner].view.Local.Daemon)) {
			owner = i
		}
	}
	return owner
}

// askQuota asks a node for tokens for waiting requests, and returns its answer, if it has one by now.
func askQuota(sim *simulation, n *node, waiting int) (effect.ReturnQuota, effect.Token) {
	n.lastToken++
	token := n.lastToken
	sim.handle(n, effect.QuotaAsked{Token: token, Request: message.QuotaRequest{
		Tenant: "t", Sequence: uint64(token), Waiting: waiting, Wanted: 5,
	}})
	return n.quotas[token], token
}

// grants reports whether a node answers other daemons as the owner of the tenant.
func grants(sim *simulation, n *node) bool {
	n.lastToken++
	q := &message.QuotaRequest{Tenant: "t", Borrower: 1, Sequence: uint64(n.lastToken), Waiting: 1}
	sim.handle(n, effect.RequestReceived{Token: n.lastToken, Body: q})
	return n.replies[n.lastToken].(*message.QuotaReply).Code == message.Accepted
}

// Guards against daemons that choose different owners, and against a grant that is not limited by the owner's bucket.
func TestOwnerGrantsToAllDaemons(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	startTenant(sim)
	granted := 0
	for range 3 {
		for _, n := range sim.nodes {
			answer, _ := askQuota(sim, n, 20)
			is.True(answer.Reply != nil)
			granted += answer.Reply.Granted + answer.Reply.Prepaid
		}
	}
	is.True(granted >= 60 && granted <= 130)
}

// Guards against requests that wait for an owner that does not answer, and against a share that adds up to more than the tolerance.
func TestSilentOwnerLeavesTheTolerance(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	owner := startTenant(sim)
	sim.nodes[owner].stopped = true
	total := 0
	for i, n := range sim.nodes {
		if i == owner {
			continue
		}
		answer, token := askQuota(sim, n, 1)
		is.Equal(answer.Token, effect.Token(0))
		sim.run(quota.AskTimeout + 40*time.Millisecond)
		answer = n.quotas[token]
		is.True(answer.Token == token && answer.Reply == nil)
		total += answer.Share
	}
	is.True(total > 30 && total <= 50) // 0.1 x 100 per second x 5 s, less the owner's part
}

// Guards against an owner that grants after the platform may have removed it, and others may have taken its tenants over.
func TestOwnerWithoutLeaseGrantsNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	owner := sim.nodes[startTenant(sim)]
	sim.setPlatformOutage(true)
	sim.run(15 * time.Second)
	answer, _ := askQuota(sim, owner, 1)
	is.Equal(answer.Reply.Code, message.Accepted) // the lease has not ended yet
	sim.run(20 * time.Second)
	answer, _ = askQuota(sim, owner, 1)
	is.Equal(answer.Reply.Code, message.Refused)
	sim.setPlatformOutage(false)
	sim.run(4 * time.Second)
	answer, _ = askQuota(sim, owner, 1)
	is.Equal(answer.Reply.Code, message.Accepted)
	is.Equal(answer.Reply.Prepaid, 0) // tokens of an owner in between may still be valid
}

// Guards against an owner that keeps its tenants although its daemon is leaving, and against a full bucket of the next owner.
func TestLeavingOwnerHandsItsTenantsOver(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	old := sim.nodes[startTenant(sim)]
	sim.handle(old, effect.Stopping{})
	sim.run(500 * time.Millisecond)
	next := sim.nodes[ownerAmong(sim, func(n *node) bool { return n != old })]
	answer, _ := askQuota(sim, old, 60)
	is.Equal(answer.Reply.Code, message.Accepted) // from the next owner
	is.True(answer.Reply.Granted < 60)
	sim.handle(old, effect.RequestReceived{Token: 1 << 40, Body: &message.QuotaRequest{Tenant: "t", Sequence: 1, Waiting: 1}})
	is.Equal(old.replies[1<<40].(*message.QuotaReply).Code, message.NotOwner)
	own, _ := askQuota(sim, next, 1)
	is.True(own.Reply != nil)
}

// Guards against requests within the quota that are refused while a daemon joins: at the daemon itself, which does not know all
// others yet, and at the others if the tenant moves to the new daemon before it can grant tokens.
func TestJoiningDaemonCostsNoTokens(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	old := sim.nodes[startTenant(sim)]
	name := ""
	for i := 0; name == ""; i++ {
		next := fmt.Sprintf("new%d", i)
		if quota.Weight("t", model.DaemonID(next)) > quota.Weight("t", old.view.Local.Daemon) {
			name = next
		}
	}
	joining := sim.start(name, nil)
	sim.run(100 * time.Millisecond)
	sim.startTarget(len(sim.nodes)-1, "v1")
	for range 80 {
		sim.run(100 * time.Millisecond)
		for _, n := range sim.nodes {
			_, token := askQuota(sim, n, 1)
			sim.run(2 * time.Millisecond)
			answer := n.quotas[token]
			is.True(answer.Reply != nil)
			is.Equal(answer.Reply.Code, message.Accepted)
			is.Equal(answer.Reply.Granted, 1)
		}
	}
	is.True(grants(sim, joining)) // the daemon owns the tenant by now
}

// Guards against two owners that grant the same tokens: a daemon that has settled long before its target is ready, or that the others
// have removed while its target was gone, must not grant before the others count it among the owners.
func TestDaemonGrantsOnlyOnceOthersCountItAsOwner(t *testing.T) {
	for _, returns := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(t, 6)
		old := startTenant(sim)
		name, joining := "", old
		for i := 0; name == ""; i++ {
			next := fmt.Sprintf("new%d", i)
			if quota.Weight("t", model.DaemonID(next)) > quota.Weight("t", sim.nodes[old].view.Local.Daemon) {
				name = next
			}
		}
		if returns {
			gone := model.TargetReport{Instance: model.InstanceID(fmt.Sprint("i", old)), Born: 1, Seq: 2, State: model.TargetGone}
			sim.report(sim.nodes[old], gone)
			old = ownerAmong(sim, func(n *node) bool { return n != sim.nodes[joining] })
		} else {
			sim.start(name, nil)
			joining = len(sim.nodes) - 1
		}
		sim.run(8 * time.Second)
		sim.report(sim.nodes[joining], model.TargetReport{Instance: "next", Born: 2, Seq: 1, Version: "v1", State: model.TargetReady})
		granted := 0
		for range 35 { // of 140 ms each: less than the window
			sim.run(100 * time.Millisecond)
			for _, i := range []int{old, joining} {
				_, token := askQuota(sim, sim.nodes[i], 40)
				sim.run(2 * time.Millisecond)
				if reply := sim.nodes[i].quotas[token].Reply; reply != nil {
					granted += reply.Granted
				}
			}
		}
		is.True(granted <= 680) // (100 * 5 + 100) * 1.1 + 20
		sim.run(2 * time.Second)
		is.True(grants(sim, sim.nodes[joining])) // the daemon owns the tenant by now
	}
}

// Guards against a tenant that stays with an owner that answers its peers but has lost the store, and so cannot grant tokens.
func TestOwnerWithoutTheStoreLosesItsTenants(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	sim.leases = map[store.LeaseID]simulatedLease{}
	old := sim.nodes[startTenant(sim)]
	next := sim.nodes[ownerAmong(sim, func(n *node) bool { return n != old })]
	old.platformUnreachable = true
	sim.run(25 * time.Second)
	is.True(grants(sim, old)) // its lease is valid
	sim.run(45 * time.Second)
	is.True(!grants(sim, old))
	is.True(grants(sim, next))
	old.platformUnreachable = false
	sim.run(time.Second)
	is.True(!grants(sim, old))
	sim.run(8 * time.Second)
	is.True(grants(sim, old))
	is.True(!grants(sim, next))
}

// Guards against tenants that stay without an owner for the rest of a lease, because the VM of their owner is lost and its address
// belongs to another daemon.
func TestOwnerWhoseAddressIsTakenLosesItsTenants(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	owner := startTenant(sim)
	lost := sim.nodes[owner]
	lost.stopped = true
	sim.run(time.Second)
	successor := sim.startAt("successor", lost.address, nil)
	sim.run(100 * time.Millisecond)
	sim.startTarget(len(sim.nodes)-1, "v1")
	sim.run(2 * time.Second)
	for _, n := range sim.nodes {
		if n == lost || n == successor {
			continue
		}
		_, token := askQuota(sim, n, 1)
		sim.run(2 * time.Millisecond)
		answer := n.quotas[token]
		is.True(answer.Reply != nil)
		is.Equal(answer.Reply.Code, message.Accepted)
	}
}
