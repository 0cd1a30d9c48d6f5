package trace

import "time"

// Association is a day of the wine registry: checks-in and audits beside watches.
func Association() *Day {
	return &Day{
		Name: "association", Workers: 48, Racks: 6, Sizes: []int{64000, 64000, 96000}, Mem: 256000,
		Length: 34 * time.Second, Swing: 20 * time.Second, Heavy: 0.45, Press: 2,
		Kinds: []Kind{
			{
				Name: "check-in", Rate: 4.5, Steps: Spread{1.6, 0.4, 4}, Width: Spread{6, 0.8, 36}, CPU: Spread{4100, 0.45, 12000},
				Mem: Spread{8200, 0.3, 16000}, Work: Spread{1, 0.5, 2.5}, Aim: 250 * time.Millisecond, Stretch: 1.5,
				Worth: 0.355, Late: 0.053, Fails: 0.05, Off: 0.2,
			},
			{
				Name: "audit", Rate: 7, First: 12, Steps: Spread{2, 0.4, 5}, Width: Spread{8, 0.6, 32}, CPU: Spread{7000, 0.3, 14000},
				Mem: Spread{13000, 0.3, 26000}, Work: Spread{1.7, 0.5, 4.3}, Aim: time.Second, Stretch: 2, Priority: 2,
				Worth: 1.16, Late: 0.174, Saves: 0.85, Fails: 0.02, Off: 0.2, Images: 9, Fills: true,
			},
			{
				Name: "watch", First: 37, Rate: 0.2, Steps: Spread{1, 0, 1}, Width: Spread{6, 0.4, 12}, CPU: Spread{13000, 0.25, 20000},
				Mem: Spread{26000, 0.3, 51000}, Work: Spread{1, 0, 1}, Aim: 2500 * time.Millisecond, Stretch: 2.2,
				Worth: 0.349, Apart: 0.5, Images: 5, Lasting: true, Target: 150 * time.Millisecond,
			},
		},
	}
}

// Wildheart is a day of the gift shops: certificates and photo books beside feeds.
func Wildheart() *Day {
	d := Association()
	d.Name, d.Sizes, d.Mem = "wildheart", []int{16000, 16000, 24000}, 64000
	d.Swing, d.Heavy = 10*time.Second, 0.55
	cert, book, feed := &d.Kinds[0], &d.Kinds[1], &d.Kinds[2]
	cert.Name, cert.Rate, cert.CPU, cert.Mem, cert.Worth, cert.Late = "cert-print", 4.7, Spread{1000, 0.45, 3000}, Spread{2000, 0.3, 4000}, 0.34, 0.051
	book.Name, book.Rate, book.CPU, book.Mem = "keeper-book", 5.2, Spread{1800, 0.3, 3600}, Spread{3200, 0.3, 6400}
	book.Work, book.Worth, book.Late = Spread{2.2, 0.5, 5.5}, 1.52, 0.227
	feed.Name, feed.CPU, feed.Mem, feed.Worth = "sponsor-feed", Spread{3200, 0.25, 5100}, Spread{6400, 0.3, 13000}, 0.343
	feed.Target = 24 * time.Millisecond
	return d
}

// Backlog is a long day of the wine registry with more audits than there is room for.
func Backlog() *Day {
	d := Association()
	d.Name, d.Length = "backlog", 92*time.Second
	audit, watch := &d.Kinds[1], &d.Kinds[2]
	audit.Rate *= 1.4
	watch.Rate *= Association().Length.Seconds() / d.Length.Seconds() // as many in all: they stay
	return d
}

// Days are the days by name.
var Days = map[string]func() *Day{"association": Association, "wildheart": Wildheart, "backlog": Backlog}
