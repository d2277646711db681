package ctl

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud/memkv"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/settings"
)

// exampleAccounts is the number of client accounts in each example.
const exampleAccounts = 10

// Guards against example settings that a daemon rejects.
func TestExampleSettings(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/*/*.json")
	is.NoErr(err)
	loaded := 0
	for _, file := range files {
		if name := filepath.Base(file); name == "clients.json" || name == "plans.json" {
			continue
		}
		s, err := settings.Load(file)
		is.NoErr(err)
		is.Equal(s.Role == settings.RoleEntry, strings.HasSuffix(file, "entry.json"))
		loaded++
	}
	is.Equal(loaded, 6) // entry, engine agent and order agent of two users
}

// Guards against example lists that an entry rejects. They are committed in
// the order in which they must be applied: plans before the accounts that use
// them.
func TestExampleLists(t *testing.T) {
	for _, user := range []string{"al-wusta", "hanbit"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			replica := fleetconf.NewReplica()
			editor := fleetconf.NewEditor(memkv.New(), replica)
			for _, name := range []string{"plans", "clients"} {
				file := filepath.Join("../examples", user, name+".json")
				data, err := os.ReadFile(file)
				is.NoErr(err)
				list, err := ParseList(file, data)
				is.NoErr(err)
				edit := &wire.Edit{Id: name, Operator: "test"}
				for _, d := range list.Diff(&Config{}) {
					edit.Changes = append(edit.Changes, &wire.ItemChange{Key: d.Key, Value: d.Value})
				}
				_, err = editor.Commit(context.Background(), edit)
				is.NoErr(err)
			}
			is.Equal(len(replica.Config().Items(fleetconf.ClientPrefix)), exampleAccounts)
		})
	}
}
