package remote_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/remote"
)

// Guards against a client that returns its cached list after the list has changed, also if it has changed back to an
// earlier state.
func TestListFollowsChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlatform(start())
		s, stop := serve(t, p)
		defer stop()
		l := &remote.VMs{Address: s.Address}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			id := strconv.Itoa(rapid.IntRange(0, 2).Draw(rt, "vm"))
			if rapid.Bool().Draw(rt, "remove") {
				p.VMs.Remove(id)
			} else {
				leaving := rapid.Bool().Draw(rt, "leaving")
				p.VMs.Set(provider.NewVM(id, provider.RoleBackendServer, "a", "r", "x:1", provider.Shape{}, leaving))
			}
			want := p.VMs.List(context.Background())
			for range 2 {
				assert.Equal(rt, describe(l.List(context.Background())), describe(want))
			}
		}
	})
}

// Guards against a list that is sent again although the client has it. With 530 VMs that exceeds the limit of
// requirement R28 in docs/design.md.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	s, stop := serve(t, newPlatform(start()))
	defer stop()
	post := func(body string) string {
		r, err := http.Post("http://"+s.Address+"/vms/list", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		defer func() { assert.NilError(t, r.Body.Close()) }()
		data, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		return string(data)
	}
	whole := post(`{}`)
	assert.Assert(t, strings.Contains(whole, `"b1"`), whole)
	tag := strings.Split(strings.Split(whole, `"tag":"`)[1], `"`)[0]
	assert.Equal(t, strings.TrimSpace(post(`{"known-tag":"`+tag+`"}`)), `{"tag":"`+tag+`","unchanged":true}`)
}
