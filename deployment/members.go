package deployment

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/relay"
	"github.com/pistachiolead/pistachiolead/timer"
)

// membersPartition is the store partition with the rows of the entry VMs.
const membersPartition = "entry-vms"

func (v *VM) members() *platform.Table {
	return &platform.Table{Client: v.client, Address: v.Settings.StoreAddress(), Partition: membersPartition}
}

// announce stores where this entry VM relays requests of the leader.
func (v *VM) announce(ctx context.Context, address string) error {
	m := relay.NewMember(v.Settings.Name(), address, v.Settings.Processors())
	tx := provider.NewTransaction(nil, []provider.Write{provider.NewPut(relay.MembersPrefix+v.Settings.Name(), m.Encode())})
	for ctx.Err() == nil {
		if _, committed := v.members().Commit(ctx, tx).(provider.Committed); committed {
			return nil
		}
		timer.Wait(ctx, v.Clock, announceRetryDelay)
	}
	return nil
}

// watchMembers keeps the list of entry VMs that may relay requests up to date.
func (c *controller) watchMembers() {
	c.vm.goroutines.Go(func() error {
		for c.ctx.Err() == nil {
			c.readMembers()
			timer.Wait(c.ctx, c.vm.Clock, membersReadInterval)
		}
		return nil
	})
}

func (c *controller) readMembers() {
	switch o := c.vm.members().Scan(c.ctx, relay.MembersPrefix, 0).(type) {
	case provider.Rows:
		members := make([]relay.Member, 0, len(o.Rows()))
		for _, row := range o.Rows() {
			m, err := relay.DecodeMember(row)
			if err != nil {
				klog.ErrorS(err, "Ignored an invalid row of an entry VM", "key", row.Key(), "version", row.Version())
				continue
			}
			members = append(members, m)
		}
		c.relays.SetMembers(members)
	case provider.Unavailable:
		klog.InfoS("Failed to read the entry VMs", "vm", c.vm.Settings.Name(), "reason", o.Reason())
	}
}
