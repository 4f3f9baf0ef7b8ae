package prepaid

import "github.com/rotisserie/eris"

// FinishDecoding makes a decoded book usable: empty maps may be absent from an encoding. It returns
// an error if the book names an account or a session of which nothing is said.
func (b *Book) FinishDecoding() error {
	if b.Accounts == nil {
		b.Accounts = map[string]*Account{}
	}
	if b.Sessions == nil {
		b.Sessions = map[string]*Session{}
	}
	if b.Provisional == nil {
		b.Provisional = map[uint64]*ProvisionalCharge{}
	}
	for name, a := range b.Accounts {
		if a == nil {
			return eris.Errorf("the account %q is empty", name)
		}
	}
	for host, s := range b.Sessions {
		if s == nil {
			return eris.Errorf("the session of host %q is empty", host)
		}
		if s.Holdings == nil {
			s.Holdings = map[string]*Holding{}
		}
		for name, h := range s.Holdings {
			if h == nil {
				return eris.Errorf("the holding of %q on host %q is empty", name, host)
			}
		}
	}
	for id, p := range b.Provisional {
		if p == nil {
			return eris.Errorf("the provisional charge of session %d is empty", id)
		}
	}
	return nil
}
