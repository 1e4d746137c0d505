package edge

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/batcher"
	"bilberrydale/process/errkind"
	"bilberrydale/process/logging"
	"bilberrydale/process/stages"
	"bilberrydale/process/waitline"
	"bilberrydale/request/gateway"
)

// Rate limits of log lines. An entry host typically serves about ten requests a
// second. At several times that rate ordinary lines are suppressed first, lines about
// failures much later.
const (
	ordinaryLinesPerSecond = 120
	failureLinesPerSecond  = 300
)

// logLimits limits the rate of lines about requests and stage work.
type logLimits struct{ ordinary, failures *logging.Limiter }

// newLogLimits returns limits with the rates above.
func newLogLimits() logLimits {
	return logLimits{&logging.Limiter{PerSecond: ordinaryLinesPerSecond}, &logging.Limiter{PerSecond: failureLinesPerSecond}}
}

// allow reports whether a line may be written at time now. Lines that are refused are
// counted.
func (l logLimits) allow(failed bool, now time.Time) bool {
	if failed {
		return l.failures.Allow(now)
	}
	return l.ordinary.Allow(now)
}

// ms returns a duration in milliseconds, with the precision of a microsecond.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// countOutcomes counts the attempts of a request by what proves that they have not run, and requests that
// are reported as not run after attempts.
func (h *Host) countOutcomes(r *gateway.LogEntry) {
	for name, n := range map[string]int{"attempts_not_sent": r.Outcomes.NotSent, "attempts_refused": r.Outcomes.Refused, "attempts_unproven": r.Outcomes.Unproven} {
		if n > 0 {
			h.meter.Add(name, int64(n))
		}
	}
	if r.Attempts > 0 && r.Ran == errkind.RanNo {
		h.meter.Add("reported_not_run_after_attempts", 1)
	}
}

// logRequest logs a finished request and updates the metrics.
func (h *Host) logRequest(r *gateway.LogEntry) {
	name := string(r.Kind)
	if name == "" {
		name = fmt.Sprintf("answered_%dxx", r.Status/100)
	}
	h.meter.Add("requests_"+name, 1)
	if r.Route != "" {
		h.meter.Observe("request_"+r.Route, r.Duration)
	}
	if r.Attempts > 1 {
		h.meter.Add("repeats", int64(r.Attempts-1))
	}
	h.countOutcomes(r)
	if r.ServerCrashes > 0 {
		h.meter.Add("server_crashes_during_requests", int64(r.ServerCrashes))
	}
	if r.AnswerUnread {
		h.meter.Add("answers_unread", 1)
	}
	if r.CarriedBy != "" {
		h.meter.Add("requests_carried_by_others", 1)
	}
	if r.LastEventID != "" || r.FirstAttemptID != "" {
		h.meter.Add("streams_taken_up", 1)
	}
	h.countWait(r)
	failed := r.Kind != "" && r.Kind != errkind.Cancelled
	stopFields, required := h.countStopped(r)
	if !h.logLimits.allow(failed, h.clock.Now()) && !required {
		return
	}
	if r.SilencesAwaited > 0 {
		h.meter.Add("server_silences_awaited", int64(r.SilencesAwaited))
	}
	kv := append(requestLogFields(r), stopFields...)
	if r.Kind != "" {
		kv = append(kv, "kind", r.Kind, "ran", r.Ran, "detail", r.Detail, "retry_after_ms", ms(r.RetryAfter))
	}
	if failed {
		h.log.Warn("request", kv...)
		return
	}
	h.log.Info("request", kv...)
}

// requestLogFields returns the keys and values of a request's log line but for those of a shutdown or an error.
func requestLogFields(r *gateway.LogEntry) []any {
	kv := []any{
		"id", r.ID, "route", r.Route, "account", r.Account, "config", r.PlanVersion, "key_age_ms", ms(r.KeyAge),
		"fingerprint", fmt.Sprintf("%016x", uint64(r.Fingerprint)), "service", r.Service, "server", r.Server, "attempts", r.Attempts, "status", r.Status,
		"stages_ms", ms(r.StageDuration), "first_byte_ms", ms(r.TimeToFirstByte), "took_ms", ms(r.Duration), "left_ms", ms(r.DeadlineRemaining),
	}
	if o := r.Outcomes; o != (gateway.AttemptOutcomes{}) {
		kv = append(kv, "attempts_not_sent", o.NotSent, "attempts_refused", o.Refused, "attempts_unproven", o.Unproven)
	}
	if r.SilencesAwaited > 0 {
		kv = append(kv, "silences_awaited", r.SilencesAwaited)
	}
	if r.Trial {
		kv = append(kv, "quarantine_trial", true)
	}
	if r.CarriedBy != "" {
		kv = append(kv, "carried_by", r.CarriedBy)
	}
	if r.WaitOutcome != waitline.NotWaited {
		kv = append(kv, "waited_ms", ms(r.Waited), "wait_ended", r.WaitOutcome.String())
	}
	if r.BodyEnd != "" {
		kv = append(kv, "body_end", r.BodyEnd)
	}
	if r.Events > 0 || r.IncompleteBytes > 0 {
		kv = append(kv, "events", r.Events, "incomplete_bytes", r.IncompleteBytes)
	}
	if r.AnswerUnread {
		kv = append(kv, "answer_unread", true)
	}
	if len(r.EventVersions) > 0 {
		kv = append(kv, "event_versions", strings.Join(r.EventVersions, ","))
	}
	if r.LastEventID != "" || r.FirstAttemptID != "" {
		kv = append(kv, "after_event", r.LastEventID, "begun_by", r.FirstAttemptID, "writer_from", r.WriterSource)
	}
	if r.StreamInterruptions > 0 {
		kv = append(kv, "resumed", r.StreamInterruptions)
	}
	if r.ServerCrashes > 0 {
		kv = append(kv, "server_crashes", r.ServerCrashes, "prompt_parts", strings.Join(r.PromptParts, ","))
	}
	if len(r.Failures) > 0 {
		kv = append(kv, "failed_attempts", strings.Join(r.Failures, "; "))
	}
	return kv
}

// countWait updates the metrics of a request that came to the line of its service.
func (h *Host) countWait(r *gateway.LogEntry) {
	if r.WaitOutcome == waitline.NotWaited {
		return
	}
	service := r.Service
	h.meter.Gauge("requests_waiting_"+service, func() float64 { return float64(h.gateway.Waiting(service)) })
	h.meter.Observe("request_wait_"+service, r.Waited)
	if r.WaitOutcome.Refused() {
		h.meter.Add("requests_refused_waiting_"+r.WaitOutcome.String(), 1)
	}
	if r.WaitOutcome == waitline.Trial {
		h.meter.Add("requests_sent_for_trial", 1)
	}
}

// CallSent implements batcher.CallLogger.
func (h *Host) CallSent(service string, c *batcher.Call, waiting int) {
	h.meter.Add("stage_calls_"+service, 1)
	h.meter.Add("stage_items_"+service, int64(len(c.Items)))
	if h.logLimits.allow(false, h.clock.Now()) {
		h.log.Info("stage call sent", "service", service, "server", c.Server.ID, "items", len(c.Items),
			"first", c.Items[0].Job.Items[c.Items[0].Index].RequestID, "waiting", waiting, "expect_ms", ms(c.ExpectedDuration))
	}
}

// OwnerChanged implements stages.PoolLog.
func (h *Host) OwnerChanged(region, host string, incarnation uint64) {
	h.log.Info("stage work", "outcome", "is done by this host", "region", region, "name", host, "incarnation", incarnation)
}

// OwnerFailed implements stages.PoolLog.
func (h *Host) OwnerFailed(host string, excludedFor time.Duration, err error) {
	h.meter.Add("stage_owner_failed", 1)
	h.log.Warn("stage work", "outcome", "host did not answer; passed over", "name", host, "passed_ms", ms(excludedFor), "err", err)
}

// StageWorkEnded implements stages.Log.
func (h *Host) StageWorkEnded(t *stages.Ticket, waited, took time.Duration, err error, onTime, lateWaiting int) {
	h.meter.Observe("stage_work", took)
	h.meter.Observe("stage_work_wait", waited)
	if t.Late() {
		h.meter.Add("stage_work_late", 1)
	}
	if err != nil {
		h.meter.Add("stage_work_failed", 1)
		h.countStageRefusal(t, err)
	}
	if t.HeldByShare {
		h.meter.Add("stage_work_held_by_share", 1)
	}
	if !h.logLimits.allow(err != nil, h.clock.Now()) {
		return
	}
	kv := []any{
		"id", t.Request.ID, "late", t.Late(), "waited_ms", ms(waited), "took_ms", ms(took), "held_by", t.BlockedBy,
		"held_by_room", t.BlockedByMemory, "account", t.Request.Account, "priority", t.Request.Priority, "held_by_share", t.HeldByShare, "share_due_ms", int64(1000 * t.Due), "share_used_ms", int64(1000 * t.Used), "waiting", onTime, "waiting_late", lateWaiting, "worth", int(t.Request.Worth), "stages_ms", stageMilliseconds(t.StageTimes),
		"target", t.TargetID, "target_wait_ms", ms(t.TargetWait), "prompt_from", t.FetchFrom,
	}
	if err != nil {
		h.log.Warn("stage work", append(kv, "err", err)...)
		return
	}
	h.log.Info("stage work", kv...)
}

// countStageRefusal counts stage work that failed, by reason; of that which its account's share held, too.
func (h *Host) countStageRefusal(t *stages.Ticket, err error) {
	var failed *stages.Error
	if !errors.As(err, &failed) {
		return
	}
	h.meter.Add("stage_work_failed_"+string(failed.Reason), 1)
	if t.HeldByShare {
		h.meter.Add("stage_work_failed_beyond_share", 1)
	}
}

// stageMilliseconds returns the durations of stages in whole milliseconds.
func stageMilliseconds(durations []time.Duration) []int64 {
	out := make([]int64, len(durations))
	for i, d := range durations {
		out[i] = d.Milliseconds()
	}
	return out
}

// CallEnded implements batcher.CallLogger.
func (h *Host) CallEnded(service string, c *batcher.Call, took time.Duration, response batcher.Response) {
	h.meter.Observe("stage_call_"+service, took)
	failed := response.Err != nil
	reasons := map[batcher.Reason]int{}
	for _, r := range response.Results {
		if r.Reason != "" {
			reasons[r.Reason]++
			failed = true
		}
	}
	if !failed {
		if h.logLimits.allow(false, h.clock.Now()) {
			h.log.Info("stage call ended", "service", service, "server", c.Server.ID, "items", len(c.Items), "took_ms", ms(took), "expect_ms", ms(c.ExpectedDuration))
		}
		return
	}
	h.meter.Add("stage_calls_failed_"+service, 1)
	if h.logLimits.allow(true, h.clock.Now()) {
		h.log.Warn("stage call ended", "service", service, "server", c.Server.ID, "items", len(c.Items), "took_ms", ms(took),
			"expect_ms", ms(c.ExpectedDuration), "reasons", reasons, "err", response.Err)
	}
}

// countPlatformCall counts a call to the platform's store by object kind, method, and
// whether a stale response was allowed.
func (h *Host) countPlatformCall(c platform.Call) {
	name := "platform_calls_" + c.Kind + "_" + strings.ToLower(c.Method)
	if c.StaleRead {
		name += "_stale"
	}
	h.meter.Add(name, 1)
}

// registerGauges registers the metrics that are computed when they are read.
func (h *Host) registerGauges() {
	h.meter.Gauge("requests_active", func() float64 { return float64(h.activeRequests.Load()) })
	h.meter.Gauge("upstream_connections_open", func() float64 { return float64(h.upstream.OpenConnections()) })
	h.meter.Gauge("peers_known", func() float64 { return float64(len(h.mesh.Peers())) })
	h.meter.Gauge("stream_records", func() float64 { return float64(h.writers.Records()) })
	h.meter.Gauge("stream_bytes_waiting", func() float64 { return float64(h.gateway.ReadAheadBytes()) })
	h.meter.Gauge("answer_bytes", func() float64 { return float64(h.gateway.Answers().Bytes) })
	h.meter.Gauge("upload_bytes", func() float64 { return float64(h.gateway.Uploads().Bytes) })
	h.meter.Gauge("uploads_waiting", func() float64 { return float64(h.gateway.Uploads().Waiting) })
	h.meter.Gauge("uploads_given_up", func() float64 { return float64(h.gateway.Uploads().GivenUp) })
	h.meter.Gauge("uploads_without_room", func() float64 { return float64(h.gateway.Uploads().NoRoom) })
	h.meter.Gauge("log_lines_dropped", func() float64 { return float64(h.logWriter.Dropped()) })
	h.meter.Gauge("log_lines_left_out", func() float64 {
		return float64(h.logLimits.ordinary.Suppressed() + h.logLimits.failures.Suppressed())
	})
	h.meter.Gauge("config_age_ms", func() float64 { _, age := h.keysFresh(); return ms(age) })
	h.meter.Gauge("config_version", func() float64 {
		if p := h.plan.Load(); p != nil {
			return float64(p.Version)
		}
		return 0
	})
	h.meter.Gauge("servers_slow", h.slowServers)
	h.meter.Gauge("servers_listed", func() float64 { return float64(h.directory.View().Count()) })
}
