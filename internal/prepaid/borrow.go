package prepaid

// Borrow asks lenders, in their order, for the need tokens of a request, and reports whether it got
// them. Each is first asked for all of them, or up to want: parts that do not add up to a request
// serve none, and keep others from it. If none has so many but all together do, each is asked for
// a part. ask returns the tokens got from a lender and those left free there.
func Borrow(lenders int, need, want int64, ask func(lender int, need, want int64) (tokens, free int64)) bool {
	left := make([]int64, lenders)
	total := int64(0)
	for i := range lenders {
		tokens, free := ask(i, need, want)
		if need -= tokens; need <= 0 {
			return true
		}
		left[i] = max(free, 0)
		total += left[i]
	}
	if total < need {
		return false
	}
	for i := range lenders {
		if left[i] == 0 {
			continue
		}
		part := min(need, left[i])
		tokens, _ := ask(i, part, part)
		if need -= tokens; need <= 0 {
			return true
		}
	}
	return false
}
