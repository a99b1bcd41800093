// Command matrix writes days for the users' bench, one file each. The days of storage
// machines have each ordered pair of their troubles, with the store well, silent or busy
// between the two, and a disk wiped at the end. The days of tenants have each trouble of
// keys, quotas and what these rest on, alone and in pairs, the second within the first,
// and all processes killed at the end. docs/design/days.md says how they are played.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

const (
	// Seconds of a day, counted from the start of its traffic.
	firstAt  = 4.0
	storeAt  = 6.0
	storeFor = 5.0
	secondAt = 9.0
	// The first seed and the number of a day make its seed.
	firstStorageSeed = 4000
	firstTenantSeed  = 5000
)

// trouble is one entry of a day, without its moment.
type trouble struct {
	name, fields string
	isPlanned    bool
}

// storageTroubles are those that storage machines have to bear.
func storageTroubles() []trouble {
	return []trouble{
		{"retire", `kind = "retire", for_s = 8.0`, true},
		{"replace", `kind = "replace_core", on = "store", x = 2.0`, false},
		{"wipe", `kind = "after_ack_wipe", on = "store", count = 1, how = "oldest", for_s = 1.0`, false},
		{"cut", `kind = "core_cut", on = "store", count = 1, for_s = 6.0`, false},
		{"freeze", `kind = "node_freeze", on = "store", count = 1, for_s = 3.0`, false},
		{"add", `kind = "add_nodes", on = "store", count = 1`, true},
	}
}

// tenantTroubles are those that keys and quotas have to bear.
func tenantTroubles() []trouble {
	return []trouble{
		{"revoke", `kind = "revoke", count = 3, gap_s = 0.7, how = "last"`, true},
		{"hot", `kind = "hot_tenant", x = 8.0, for_s = 6.0, count = 2`, false},
		{"turned-away", `kind = "platform_down", how = "nodes reset revoke meet", share = 0.35, for_s = 9.0`, false},
		{"down", `kind = "platform_down", how = "silent", for_s = 4.5`, false},
		{"tenant", `kind = "config_change", how = "tenant"`, true},
		{"quota", `kind = "config_change", how = "quota"`, true},
		{"quota-down", `kind = "config_change", how = "quota down"`, true},
		{"cut", `kind = "core_cut", for_s = 5.5, how = "leader race revoke"`, false},
		{"freeze", `kind = "node_freeze", share = 0.2, for_s = 6.0`, false},
		{"dark", `kind = "herd_kill", share = 0.55, for_s = 2.0, how = "power"`, false},
	}
}

// tenantDays returns each of the tenants' troubles alone and in pairs.
func tenantDays() []day {
	const closing = `kind = "kill_all", down_s = 1.0`
	var all []day
	listed := tenantTroubles()
	for index, first := range listed {
		planned, faults := entries(placed{first, firstAt}, placed{first, secondAt})
		all = append(all, newDay(first.name, firstTenantSeed+len(all), closing, planned, faults))
		for _, second := range listed[index+1:] {
			planned, faults := entries(placed{first, firstAt}, placed{second, firstAt + 1}, placed{first, secondAt})
			all = append(all, newDay(first.name+"-"+second.name, firstTenantSeed+len(all), closing, planned, faults))
		}
	}
	return all
}

// placed is a trouble at a moment.
type placed struct {
	trouble
	at float64
}

// entries are the lines of planned work and of faults.
func entries(listed ...placed) (planned, faults string) {
	for _, entry := range listed {
		line := fmt.Sprintf("  { at = %.1f, %s },\n", entry.at, entry.fields)
		if entry.isPlanned {
			planned += line
		} else {
			faults += line
		}
	}
	return planned, faults
}

// day is one file.
type day struct {
	name, content string
}

// newDay is a day with planned work, faults and what happens at its end.
func newDay(name string, seed int, closing, planned, faults string) day {
	return day{name: name, content: fmt.Sprintf(
		"name = %q\nslot = \"trouble\"\nseed = %d\nclosing = { %s }\nplan = [\n%s]\nfaults = [\n%s]\n",
		name, seed, closing, planned, faults)}
}

// storageDays returns each ordered pair of the storage machines' troubles beside
// each state of the store.
func storageDays() []day {
	var all []day
	for _, store := range []string{"well", "silent", "busy"} {
		for _, first := range storageTroubles() {
			for _, second := range storageTroubles() {
				all = append(all, storageDay(firstStorageSeed+len(all), first, second, store))
			}
		}
	}
	return all
}

func storageDay(seed int, first, second trouble, store string) day {
	planned, faults := entries(placed{first, firstAt}, placed{second, secondAt})
	if store != "well" {
		faults += fmt.Sprintf("  { at = %.1f, kind = \"platform_down\", for_s = %.1f, how = %q },\n", storeAt, storeFor, store)
	}
	const closing = `kind = "wipe_after_ack", down_s = 1.0, how = "oldest"`
	return newDay(fmt.Sprintf("%s-%s-%s", first.name, second.name, store), seed, closing, planned, faults)
}

func main() {
	folder := flag.String("out", "", "folder for the days, which must exist")
	of := flag.String("of", "storage", "storage or tenants: whose troubles")
	flag.Parse()
	listed := map[string]func() []day{"storage": storageDays, "tenants": tenantDays}[*of]
	if *folder == "" || listed == nil || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	for _, one := range listed() {
		if err := os.WriteFile(filepath.Join(*folder, one.name+".toml"), []byte(one.content), 0o644); err != nil {
			fmt.Fprintf(os.Stderr, "writing day %s: %v\n", one.name, err)
			os.Exit(1)
		}
	}
}
