package recovery_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
)

const (
	// shortLength and soakLength are the times of a schedule before its end.
	shortLength = 22 * time.Second
	soakLength  = 40 * time.Second
	// finalReadTimeout leaves gateways configTime of recoverTime to obtain the configuration.
	finalReadTimeout = recoverTime - configTime
	// settledFor is the time for which reads are checked after the first complete one.
	settledFor   = time.Second
	startTimeout = 15 * time.Second
	// endTimeout limits the wait for the acknowledgement that precedes the end.
	endTimeout = 15 * time.Second
	// lateReadTimeout is the time after which the report calls a configuration lost.
	lateReadTimeout = 40 * time.Second
)

// TestAcknowledgedConfigurationOutlivesReplacementsAndAPowerLoss runs a few short schedules.
func TestAcknowledgedConfigurationOutlivesReplacementsAndAPowerLoss(t *testing.T) {
	skipIfShort(t)
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runSchedule(t, newSchedule(seed, shortLength)) })
	}
}

// TestRecoverySoak runs N schedules from SEED on.
func TestRecoverySoak(t *testing.T) { soak(t, newSchedule) }

// TestFullDiskSoak runs N schedules with full disks from SEED on.
func TestFullDiskSoak(t *testing.T) { soak(t, newFullDiskSchedule) }

func soak(t *testing.T, newSchedule func(seed uint64, length time.Duration) schedule) {
	first, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("SEED is not set")
	}
	n, err := strconv.ParseUint(os.Getenv("N"), 10, 64)
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), "N")
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runSchedule(t, newSchedule(seed, soakLength)) })
	}
}

// runSchedule runs a schedule in parallel to others, and keeps the logs of one that fails.
func runSchedule(t *testing.T, s schedule) {
	t.Parallel()
	dir, err := os.MkdirTemp("", fmt.Sprintf("recovery-seed-%d-", s.Seed))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f, err := newFleet(daemon, dir, nextSubnet(), s)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		f.stop()
		if t.Failed() {
			t.Log(f.report(s, dir))
		} else {
			_ = os.RemoveAll(dir)
		}
	})
	r := &runner{fleet: f, operator: newOperator(f, s.Seed)}
	if err := r.run(t.Context(), s); err != nil {
		f.history.fail(err.Error())
	}
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for _, v := range f.history.violations {
		t.Error(v)
	}
	if r.losses.overlaps > 0 {
		t.Errorf("the schedule exceeded the tolerance %d times", r.losses.overlaps)
	}
	t.Logf("%s\n%d changes acknowledged, %d reads; longest time without an acknowledgement %s; read %s after the power loss",
		s, len(f.history.acks), f.history.reads, r.outage.Truncate(time.Millisecond), r.recovery.Truncate(time.Millisecond))
}

// run runs the schedule and returns an error if the configuration is not available in time.
func (r *runner) run(ctx context.Context, s schedule) error {
	if err := r.startAll(); err != nil {
		return err
	}
	r.losses.end(time.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := r.operator.put(start); err != nil {
		return err
	}
	operators, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { r.operator.keepChanging(operators) })
	running.Go(func() { r.operator.keepChanging(operators) })
	running.Go(func() { r.operator.keepReading(operators) })
	running.Go(func() { r.operator.keepReadingAll(operators) })
	running.Go(func() { r.operator.keepViewing(operators) })
	restarted, err := r.takeSteps(ctx, s, func() {
		stop()
		running.Wait()
	})
	if err != nil {
		return err
	}
	return r.readBack(ctx, restarted)
}

// takeSteps takes all steps and the end. It calls stop when all hosts have lost power, and returns when
// they were started again.
func (r *runner) takeSteps(ctx context.Context, s schedule, stop func()) (time.Time, error) {
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var gateways sync.WaitGroup
	failures := make(chan error, len(s.Steps)+1)
	lost := make(chan struct{}) // closed when the latest loss of a control host is over
	close(lost)
	for _, step := range s.Steps {
		switch {
		case step.Kind.losesControlHost():
			r.awaitTolerance(ctx, lost, step.Gap)
			done := make(chan struct{})
			lost = done
			go func() {
				defer close(done)
				failures <- r.lose(ctx, step)
			}()
		case sleep(ctx, step.Gap) && step.Kind == changeSeeds:
			failures <- r.changeSeeds(step)
		default:
			gateways.Go(func() { failures <- r.disturbGateway(background, step) })
		}
	}
	r.awaitTolerance(ctx, lost, s.End.Gap)
	cancel()
	gateways.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return time.Time{}, err
		}
	}
	return r.end(ctx, s.End, stop)
}

// awaitTolerance waits for gap after the moment from which another control host may be lost.
func (r *runner) awaitTolerance(ctx context.Context, lost <-chan struct{}, gap time.Duration) {
	<-lost
	sleep(ctx, time.Until(r.losses.allowed().Add(gap)))
}

func (r *runner) end(ctx context.Context, end powerLoss, stop func()) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	restarted, err := r.losePower(ctx, end, stop)
	outage, since := r.history.longestOutage(r.powerLostAt, r.untolerated)
	r.outage = outage
	if outage > maxOutage {
		r.history.fail(fmt.Sprintf("no change was acknowledged for %s from %.3f s on", outage, since.Sub(r.began).Seconds()))
	}
	return restarted, err
}

// readBack reads until an answer has the newest acknowledged version, and for settledFor after it.
func (r *runner) readBack(ctx context.Context, restarted time.Time) error {
	newest := r.history.newestAcknowledged()
	r.event("the newest acknowledged version is %d", newest)
	late, cancel := context.WithDeadline(ctx, restarted.Add(lateReadTimeout))
	defer cancel()
	err := r.awaitVersion(late, newest)
	r.recovery = time.Since(restarted)
	if err != nil {
		return eris.Wrapf(err, "version %d was not read within %s after the power loss", newest, lateReadTimeout)
	}
	if r.recovery > finalReadTimeout {
		return eris.Errorf("version %d was read %s after the power loss, %s at most", newest, r.recovery, finalReadTimeout)
	}
	for settled := time.Now().Add(settledFor); time.Now().Before(settled); sleep(ctx, minBackoff) {
		if version, err := r.operator.get(ctx); err == nil && version < newest {
			return eris.Errorf("version %d was read after %d", version, newest)
		}
	}
	return nil
}

// awaitVersion reads until an answer has version or a newer one, or ctx ends.
func (r *runner) awaitVersion(ctx context.Context, version uint64) error {
	for {
		read, err := r.operator.get(ctx)
		switch {
		case err == nil && read >= version:
			return nil
		case err == nil:
			err = eris.Errorf("version %d was read", read)
		}
		if !sleep(ctx, minBackoff) {
			return err
		}
	}
}
