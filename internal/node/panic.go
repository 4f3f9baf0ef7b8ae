package node

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// countPanics returns next with its panics counted and logged. They end the caller's connection, as http.ErrAbortHandler
// does, which is passed on.
func countPanics(next http.Handler, scope tally.Scope) http.Handler {
	panics := scope.Counter("request_panics")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				panics.Inc(1)
				klog.ErrorS(nil, "request ended by a panic", "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
