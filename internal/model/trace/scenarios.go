package trace

import "time"

// Association returns a scenario of a wine registry: short "check-in" jobs and
// best-effort "audit" jobs beside long-running "watch" jobs with a target of tail latency.
func Association() *Scenario {
	return &Scenario{
		Name: "association", WorkerCount: 48, RackCount: 6, WorkerCPUs: []int{64000, 64000, 96000}, WorkerMem: 256000,
		Duration: 34 * time.Second, LoadPeriod: 20 * time.Second, StrongInterferenceShare: 0.45, MaxPressure: 2,
		JobKinds: []JobKind{
			{
				Name: "check-in", ArrivalRate: 4.5, StepCount: LogNormal{1.6, 0.4, 4}, TaskCount: LogNormal{6, 0.8, 36}, TaskCPU: LogNormal{4100, 0.45, 12000},
				TaskMem: LogNormal{8200, 0.3, 16000}, TaskSeconds: LogNormal{1, 0.5, 2.5}, DeadlineBase: 250 * time.Millisecond, StretchFactor: 1.5,
				OnTimeValue: 0.355, LateValue: 0.053, FailureShare: 0.05, EstimateSigma: 0.2,
			},
			{
				Name: "audit", ArrivalRate: 7, InitialJobs: 12, StepCount: LogNormal{2, 0.4, 5}, TaskCount: LogNormal{8, 0.6, 32}, TaskCPU: LogNormal{7000, 0.3, 14000},
				TaskMem: LogNormal{13000, 0.3, 26000}, TaskSeconds: LogNormal{1.7, 0.5, 4.3}, DeadlineBase: time.Second, StretchFactor: 2, Priority: 2,
				OnTimeValue: 1.16, LateValue: 0.174, CheckpointedShare: 0.85, FailureShare: 0.02, EstimateSigma: 0.2, ImageCount: 9, BestEffort: true,
			},
			{
				Name: "watch", InitialJobs: 37, ArrivalRate: 0.2, StepCount: LogNormal{1, 0, 1}, TaskCount: LogNormal{6, 0.4, 12}, TaskCPU: LogNormal{13000, 0.25, 20000},
				TaskMem: LogNormal{26000, 0.3, 51000}, TaskSeconds: LogNormal{1, 0, 1}, DeadlineBase: 2500 * time.Millisecond, StretchFactor: 2.2,
				OnTimeValue: 0.349, SpreadShare: 0.5, ImageCount: 5, LongRunning: true, TailTarget: 150 * time.Millisecond,
			},
		},
	}
}

// Wildheart returns a scenario of gift shops on smaller workers: short "cert-print" jobs and
// best-effort "keeper-book" jobs beside long-running "sponsor-feed" jobs.
func Wildheart() *Scenario {
	s := Association()
	s.Name, s.WorkerCPUs, s.WorkerMem = "wildheart", []int{16000, 16000, 24000}, 64000
	s.LoadPeriod, s.StrongInterferenceShare = 10*time.Second, 0.55
	cert, book, feed := &s.JobKinds[0], &s.JobKinds[1], &s.JobKinds[2]
	cert.Name, cert.ArrivalRate, cert.TaskCPU, cert.TaskMem, cert.OnTimeValue, cert.LateValue = "cert-print", 4.7, LogNormal{1000, 0.45, 3000}, LogNormal{2000, 0.3, 4000}, 0.34, 0.051
	book.Name, book.ArrivalRate, book.TaskCPU, book.TaskMem = "keeper-book", 5.2, LogNormal{1800, 0.3, 3600}, LogNormal{3200, 0.3, 6400}
	book.TaskSeconds, book.OnTimeValue, book.LateValue = LogNormal{2.2, 0.5, 5.5}, 1.52, 0.227
	feed.Name, feed.TaskCPU, feed.TaskMem, feed.OnTimeValue = "sponsor-feed", LogNormal{3200, 0.25, 5100}, LogNormal{6400, 0.3, 13000}, 0.343
	feed.TailTarget = 24 * time.Millisecond
	return s
}

// Backlog returns a longer variant of Association with more "audit" jobs than the workers can run.
func Backlog() *Scenario {
	s := Association()
	s.Name, s.Duration = "backlog", 92*time.Second
	audit, watch := &s.JobKinds[1], &s.JobKinds[2]
	audit.ArrivalRate *= 1.4
	watch.ArrivalRate *= Association().Duration.Seconds() / s.Duration.Seconds() // as many in total, since they run until the end
	return s
}

// Scenarios holds the constructors of all scenarios by name.
var Scenarios = map[string]func() *Scenario{"association": Association, "wildheart": Wildheart, "backlog": Backlog}
