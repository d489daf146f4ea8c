package share

import (
	"slices"
	"time"
)

// Account tracks how many units of a resource one instance may use. Lent and
// borrowed units revert at the end of their loan without a message. It is not
// safe for concurrent use.
type Account struct {
	owned           Units
	reserved        Units
	lent            []loan
	borrowed        []loan
	version         uint64 // version of the row that owned was read from
	reservedVersion uint64 // row version on which the reserved transfer is conditional
}

// loan is a number of units lent or borrowed until end.
type loan struct {
	id    string
	units Units
	end   time.Time
}

// Owned returns the units that the row assigns to the instance.
func (a *Account) Owned() Units { return a.owned }

// Usable returns the units that the instance may use as of the last Expire.
func (a *Account) Usable() Units {
	return a.owned - a.reserved - sumUnits(a.lent) + sumUnits(a.borrowed)
}

// Transferable returns the units that the instance owns and has neither lent nor
// reserved.
func (a *Account) Transferable() Units { return a.owned - a.reserved - sumUnits(a.lent) }

func sumUnits(loans []loan) Units {
	var sum Units
	for _, l := range loans {
		sum += l.units
	}
	return sum
}

// Version returns the version of the last row observed.
func (a *Account) Version() uint64 { return a.version }

// Observe applies the instance's units as read from the row at version. Older
// versions are ignored. A newer version ends the reservation for a transfer: the
// row either contains the transfer or never will, since the transfer was
// conditional on an older version.
func (a *Account) Observe(version uint64, owned Units) {
	if version < a.version || version == 0 {
		return
	}
	a.version = version
	a.owned = owned
	if version > a.reservedVersion {
		a.reserved = 0
	}
}

// Reserve reserves units for a transfer whose write is conditional on the row
// still having the account's version. It reports whether the units could be
// reserved. Only one transfer can be reserved at a time.
func (a *Account) Reserve(units Units) bool {
	if a.reserved > 0 || units <= 0 || units > a.Transferable() {
		return false
	}
	a.reserved = units
	a.reservedVersion = a.version
	return true
}

// Release ends the reservation for a transfer that is known not to have been
// written.
func (a *Account) Release() { a.reserved = 0 }

// Reserved returns the units reserved for a transfer.
func (a *Account) Reserved() Units { return a.reserved }

// Lend makes units unusable until end.
func (a *Account) Lend(id string, units Units, end time.Time) {
	a.lent = append(a.lent, loan{id: id, units: units, end: end})
}

// Borrow adds usable units until end.
func (a *Account) Borrow(id string, units Units, end time.Time) {
	a.borrowed = append(a.borrowed, loan{id: id, units: units, end: end})
}

// Borrowed returns the units of a borrowed loan, or 0 if there is none with that
// ID.
func (a *Account) Borrowed(id string) Units {
	if i := indexOf(a.borrowed, id); i >= 0 {
		return a.borrowed[i].units
	}
	return 0
}

// EndLent ends a lent loan early. It reports whether the loan existed.
func (a *Account) EndLent(id string) bool { return removeLoan(&a.lent, id) }

// EndBorrowed ends a borrowed loan early. It reports whether the loan existed.
func (a *Account) EndBorrowed(id string) bool { return removeLoan(&a.borrowed, id) }

func removeLoan(loans *[]loan, id string) bool {
	i := indexOf(*loans, id)
	if i < 0 {
		return false
	}
	*loans = slices.Delete(*loans, i, i+1)
	return true
}

func indexOf(loans []loan, id string) int {
	return slices.IndexFunc(loans, func(l loan) bool { return l.id == id })
}

// NextExpiry returns the earliest end of any loan, or false if there is none.
func (a *Account) NextExpiry() (time.Time, bool) {
	var earliest time.Time
	for _, l := range slices.Concat(a.lent, a.borrowed) {
		if earliest.IsZero() || l.end.Before(earliest) {
			earliest = l.end
		}
	}
	return earliest, !earliest.IsZero()
}

// HasLoans reports whether any units are lent or borrowed.
func (a *Account) HasLoans() bool { return len(a.lent)+len(a.borrowed) > 0 }

// Expire ends the loans that end at or before now.
func (a *Account) Expire(now time.Time) {
	expired := func(l loan) bool { return !l.end.After(now) }
	a.lent = slices.DeleteFunc(a.lent, expired)
	a.borrowed = slices.DeleteFunc(a.borrowed, expired)
}

// Reset empties the account after the instance has lost its lease.
func (a *Account) Reset() { *a = Account{} }
