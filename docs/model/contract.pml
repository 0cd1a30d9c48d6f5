/*
 * The contract protocol of batch work: one task, a rack of two workers, two holders of
 * the rack one after the other, commands that are held up on their way, a record that
 * says whether the task is placed on the rack and under which number. Time is a small
 * counter that may advance at any moment.
 *
 * What is asked of workers: a command is taken whole or refused; a task that was given
 * is remembered until the worker is told to forget it, so that its start, repeated,
 * does nothing.
 *
 * Each guard can be left out by a define; the model is then expected to fail:
 *   NO_FENCE      workers take commands of any epoch
 *   NO_NOTAFTER   a start that is late is taken all the same
 *   NO_ABSOLUTE   a renewal counts from when it arrives, not from when it was decided
 *   NO_LEASE      a silent worker's task is given back before its lease has ended
 *   NO_SUSPECT    a new holder starts what the one before may have started
 *   NO_NUMBER     the record takes what is said of a former placement for the present one
 *   NO_HOLD       a worker's result goes out before the record counts it
 *   NO_FORGET     a worker forgets a task while a start of it may still arrive
 */

#define W     2   /* workers */
#define LEASE 1   /* of a worker */
#define FRESH 1   /* how long a start is taken */
#ifndef LAST
#define LAST  3   /* when time ends */
#endif
#ifndef MAXNO
#define MAXNO 2   /* placements */
#endif
#define MAXEP 2   /* holdings of the rack */

/* The record. */
bool placed = false;
byte no = 0;            /* number of the present placement */
byte won = 0;           /* placement that finished the task */
bool done = false;

byte now = 0;
byte epoch = 1;         /* of the present holding */

/* Workers. */
byte wepoch[W];
byte until[W];
byte runs[W];           /* placement that runs there, 0 for none */
byte fin[W];            /* placement whose result waits there */
byte has[W];            /* placements given and not forgotten, as bits */
byte outs = 0;          /* results let out */
byte begun[MAXNO + 1];  /* how often each placement was started */

/* One start and one renewal under way to each worker. */
chan start[W] = [1] of { byte, byte, byte };  /* epoch, placement, not after */
chan renew[W] = [1] of { byte, byte };        /* epoch, until */

#define LIVE(w)    (now <= until[w])
#define RUNNING(w) (runs[w] != 0 && LIVE(w))

/* The guards as conditions. */
#ifdef NO_FENCE
#define FENCED(e, w) true
#else
#define FENCED(e, w) (e == wepoch[w])
#endif
#ifdef NO_NOTAFTER
#define INTIME(t) true
#else
#define INTIME(t) (now <= t)
#endif
#ifdef NO_LEASE
#define LAPSED true
#else
#define LAPSED (now > ren[at] && now > sent)
#endif
#ifdef NO_NUMBER
#define PRESENT(p) placed
#else
#define PRESENT(p) (placed && no == p)
#endif
#ifdef NO_FORGET
#define ARRIVED true
#else
#define ARRIVED (now > sent)
#endif
#ifdef NO_SUSPECT
#define SUSPECT 0
#else
#define SUSPECT no
#endif

inline stop_if_lapsed(w) {
  if
  :: runs[w] != 0 && !LIVE(w) -> runs[w] = 0
  :: else
  fi
}

inline give_back(p) {
  if
  :: PRESENT(p) -> placed = false
  :: else
  fi
}

/* A worker takes commands, finishes, and stops when its lease has run out. */
proctype Worker(byte w) {
  byte e, p, t;
end:
  do
  :: atomic { start[w] ? e, p, t ->
       stop_if_lapsed(w);
       if
       :: FENCED(e, w) && INTIME(t) && LIVE(w) && !(has[w] & (1 << p)) && runs[w] == 0 ->
            runs[w] = p; has[w] = has[w] | (1 << p); begun[p]++;
            assert(begun[p] < 2);                    /* a placement run twice */
            assert(!(RUNNING(0) && RUNNING(1)))      /* a task in two places */
       :: else
       fi;
       e = 0; p = 0; t = 0 }
  :: atomic { renew[w] ? e, t ->
       stop_if_lapsed(w);
       if
       :: FENCED(e, w) ->
#ifdef NO_ABSOLUTE
         t = now + LEASE;
#endif
         if :: t > until[w] -> until[w] = t :: else fi
       :: else
       fi;
       e = 0; t = 0 }
  :: atomic { RUNNING(w) && fin[w] == 0 ->
       fin[w] = runs[w]; runs[w] = 0;
#ifdef NO_HOLD
       outs++; assert(done && outs == 1)             /* a result without a record */
#endif
     }
  od
}

/* One holding of the rack. Messages outlive it. */
proctype Holder(byte e) {
  byte mine = 0;       /* placement that it has started or found */
  byte at = 0;         /* the worker that has it */
  byte sent = 0;       /* last moment at which a start of it is taken */
  bool fenced[W];
  bool spoken = false; /* has seen the record */
  byte suspect = 0;    /* a former holder may have started this placement */
  byte over = now + LEASE;  /* when all leases given before have ended */
  byte ren[W];         /* when the lease of a worker, as given here, has ended */
  byte w = 0;
  do
  /* The next holder may come at any time; this one is gone then. */
  :: atomic { epoch == e && e < MAXEP -> epoch = e + 1; run Holder(e + 1); break }
  :: atomic { epoch == e ->
       /* Every other step is about a worker. */
       if :: w = 0 :: w = 1 fi;
       if
       /* Fence and inventory. */
       :: !fenced[w] && wepoch[w] <= e ->
            stop_if_lapsed(w);
            wepoch[w] = e; fenced[w] = true; ren[w] = now + LEASE;
            if
            :: mine == 0 && runs[w] != 0 -> mine = runs[w]; at = w
            :: mine == 0 && runs[w] == 0 && fin[w] != 0 -> mine = fin[w]; at = w
            :: else
            fi;
            if :: mine != 0 && mine == suspect -> suspect = 0 :: else fi
       /* The record's first answer: what is placed and not found may run unseen. */
       :: !spoken && placed && !done ->
            spoken = true;
            if :: mine != no -> suspect = SUSPECT :: else fi
       /* Nothing is placed when the record is first seen. */
       :: !spoken && !placed -> spoken = true
       /* Renewal. */
       :: fenced[w] && len(renew[w]) == 0 && ren[w] < now + LEASE ->
            renew[w] ! e, now + LEASE; ren[w] = now + LEASE
       /* Start. */
       :: fenced[w] && spoken && placed && !done && suspect != no && mine == 0 && len(start[w]) == 0 ->
            mine = no; at = w; sent = now + FRESH;
            start[w] ! e, no, now + FRESH
       /* The answer was lost: start it there again. */
       :: mine != 0 && mine == no && placed && at == w && fenced[w] && sent < now + FRESH && len(start[w]) == 0 ->
            sent = now + FRESH;
            start[w] ! e, no, now + FRESH
       /* The worker is silent past its lease: its task goes back. */
       :: mine != 0 && at == w && fenced[w] && LAPSED ->
            give_back(mine); mine = 0; sent = 0; fenced[w] = false
       /* What a former holder may have started has ended with its lease. */
       :: suspect != 0 && now > over -> give_back(suspect); suspect = 0
       /* A finished task is recorded; only the present placement counts. */
       :: fenced[w] && fin[w] != 0 && !done && PRESENT(fin[w]) ->
            done = true; won = fin[w]; placed = false
       /* The result goes out once the record counts it; any other is dropped. */
       :: fenced[w] && fin[w] != 0 && (done || !(placed && no == fin[w])) && (at != w || ARRIVED) ->
#ifndef NO_HOLD
            if
            :: fin[w] == won -> outs++; assert(done && outs == 1)
            :: else
            fi;
#endif
            if :: at == w && mine == fin[w] -> mine = 0; sent = 0 :: else fi;
            has[w] = has[w] & ~(1 << fin[w]); fin[w] = 0
       fi;
       w = 0 }
  od;
  mine = 0; at = 0; sent = 0; suspect = 0; over = 0; spoken = false;
  fenced[0] = false; fenced[1] = false; ren[0] = 0; ren[1] = 0
}

/* The bucket places the task on the rack when it has room; one compare-and-swap. */
proctype Bucket() {
end:
  do
  :: atomic { !placed && !done && no < MAXNO -> no++; placed = true }
  od
}

proctype Clock() {
end:
  do
  :: atomic { now < LAST -> now++ }
  od
}

init {
  atomic { run Worker(0); run Worker(1); run Holder(1); run Bucket(); run Clock() }
}
