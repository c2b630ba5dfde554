package checker

import (
	"fmt"

	"oleandercove.example/core/routing"
)

// checkAccounts checks each client account and its keys. Keys themselves are secret, and findings
// name their position.
func (f *findings) checkAccounts(c *routing.Configuration) {
	names := index{}
	holders := map[routing.AccessKey]int{}
	needed := len(c.Routes) == 0
	for i := range c.Routes {
		needed = needed || !c.Routes[i].Anonymous
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		at := Subject{Kind: KindAccount, Index: i, Name: string(a.ID)}
		if a.ID == "" {
			f.add(Error, at, "ID", "the account has no name")
		} else if first, ok := names.addUnique(string(a.ID), i); !ok {
			f.add(Error, at, "ID", "account %d has this name, too", first)
		}
		if len(a.Keys) == 0 {
			f.add(Warning, at, "Keys", "never matches: the account has no key")
		}
		if a.Priority != nil && *a.Priority < 0 {
			f.add(Error, at, "Priority", "%d is more urgent than 0, the most urgent priority", *a.Priority)
		}
		for n, k := range a.Keys {
			f.checkKey(at, c, holders, i, n, k)
		}
	}
	if len(c.Accounts) > 0 && !needed {
		f.add(Warning, Subject{Kind: KindAccount, Name: string(c.Accounts[0].ID)}, "", "no account is ever used: all routes are anonymous")
	}
}

// checkKey checks one key of account i.
func (f *findings) checkKey(at Subject, c *routing.Configuration, holders map[routing.AccessKey]int, i, n int, k routing.AccessKey) {
	field := fmt.Sprintf("Keys[%d]", n)
	if k == "" {
		f.add(Error, at, field, "the key is empty, so requests without a key belong to the account")
		return
	}
	holder, held := holders[k]
	switch {
	case held && holder == i:
		f.add(Warning, at, field, "the account has this key twice")
	case held:
		f.add(Error, at, field, "account %q has this key, too, and the last one gets its requests", c.Accounts[holder].ID)
	}
	holders[k] = i
}
