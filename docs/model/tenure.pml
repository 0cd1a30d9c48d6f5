/*
 * Tenures of a holder on the users' platform: one task, two workers, two hosts.
 *
 * The store gives the holder's key to one host under a lease (LEAD ticks), and may take it away
 * sooner. A holder starts tasks and renews workers' leases for SURE ticks after the store's last word, up to
 * LEASE ticks after that word, and takes a worker's runs for lapsed only once the store has
 * confirmed it after that. Orders may be carried out late, until their
 * time on the worker's clock. A new holder fences each worker it reaches, learns there what
 * runs, and waits DOUBT ticks for those it doesn't reach. Either host may lose the store or any
 * worker at any moment. What must hold: the task never runs on both workers.
 *
 * A guard is left out by -DNO_FENCE, NO_BASE (leases from now, not from the store's last word),
 * NO_CONFIRM, NO_DOUBT or NO_UNTIL; each gives a counterexample.
 */
#define LEAD 2
#ifndef SURE
#define SURE 3
#endif
#define LEASE 3
#ifndef DOUBT
#define DOUBT LEASE
#endif
#define NONE 2
#define TERMS 2

byte lead = NONE;       /* host that the store names */
byte leadlease;         /* ticks until it is dropped */
byte term;

byte fence[2];          /* of each worker */
bool runs[2];
byte lease[2];          /* ticks until what runs there is killed */
byte latefence[2];      /* an order on its way to each worker: its fence, 0 is none */
byte lateuntil[2];      /* ticks for which it may still be carried out */

byte mine[2];           /* term of each host's tenure, 0 is none */
byte sure[2];           /* ticks for which each host may act */
byte doubt[2];
byte place[2];          /* worker on which each host believes that the task runs */
byte bound[4];          /* host * 2 + worker: ticks until its runs there have lapsed by the host's count */
bool fenced[4];

#define ONCE assert(!(runs[0] && runs[1]))

#define ACTS(h) (sure[h] > 0)
#ifdef NO_BASE
#define GRANT(h) LEASE
#else
#define GRANT(h) (SURE - sure[h] >= LEASE -> 0 : LEASE - (SURE - sure[h]))
#endif
#ifdef NO_DOUBT
#define CLEAR(h) (true)
#else
#define CLEAR(h) (doubt[h] == 0 || (fenced[h * 2] && fenced[h * 2 + 1]))
#endif
#ifdef NO_CONFIRM
#define CONFIRMED(h) ACTS(h)
#else
#define CONFIRMED(h) (lead == h && term == mine[h])
#endif

#define GREATER(a, b) ((a) > (b) -> (a) : (b))

/* A worker carries out an order; its time is absolute, so that a late one brings less. */
inline carry(w, f, d) {
  if
  :: f >= fence[w] -> fence[w] = f; runs[w] = true; lease[w] = GREATER(lease[w], d); ONCE
#ifdef NO_FENCE
  :: f < fence[w] -> runs[w] = true; lease[w] = GREATER(lease[w], d); ONCE
#else
  :: f < fence[w] -> skip
#endif
  fi
}

inline claim(h) {
  term++;
  lead = h; leadlease = LEAD;
  mine[h] = term; sure[h] = SURE; doubt[h] = DOUBT;
  place[h] = NONE;
  fenced[h * 2] = false; fenced[h * 2 + 1] = false;
  bound[h * 2] = DOUBT; bound[h * 2 + 1] = DOUBT
}

inline look(h, w) {
  if
  :: fence[w] > mine[h] -> mine[h] = 0
  :: else ->
    fence[w] = mine[h]; fenced[h * 2 + w] = true;
    if
    :: runs[w] -> place[h] = w
    :: !runs[w] && place[h] == w && latefence[w] == 0 -> place[h] = NONE
    :: else
    fi;
    if
    :: ACTS(h) -> lease[w] = GREATER(lease[w], GRANT(h)); bound[h * 2 + w] = GREATER(bound[h * 2 + w], GRANT(h))
    :: else
    fi
  fi
}

proctype host(byte h) {
  byte w;
  do
  :: atomic { mine[h] == 0 && lead == NONE && term < TERMS -> claim(h) }
  :: atomic { mine[h] > 0 && lead == h && term == mine[h] -> /* the store answers */
       leadlease = LEAD; sure[h] = SURE }
  :: atomic { mine[h] > 0 && lead != NONE && lead != h -> mine[h] = 0 } /* or tells of another */
  :: atomic { mine[h] > 0 -> select(w : 0 .. 1); look(h, w); w = 0 }
  :: atomic { /* start */
       (mine[h] > 0 && place[h] == NONE && GRANT(h) > 0 && ACTS(h) && CLEAR(h)) -> select(w : 0 .. 1);
       if
       :: fenced[h * 2 + w] && latefence[w] == 0 ->
         place[h] = w; bound[h * 2 + w] = GREATER(bound[h * 2 + w], GRANT(h));
         if
         :: carry(w, mine[h], GRANT(h))
         :: latefence[w] = mine[h]; lateuntil[w] = GRANT(h)
         fi
       :: else
       fi;
       w = 0 }
  :: atomic { /* the worker can't be reached and its lease has lapsed */
       (mine[h] > 0 && place[h] != NONE && bound[h * 2 + place[h]] == 0 && CONFIRMED(h)) -> place[h] = NONE }
  :: term == TERMS && mine[h] == 0 -> break
  od
}

#ifdef NO_UNTIL
#define LATE(w) LEASE
#else
#define LATE(w) lateuntil[w]
#endif
#define DOWN(x) if :: x > 0 -> x-- :: else fi

proctype time() {
  byte i;
  do
  :: atomic {
       DOWN(leadlease);
       if :: leadlease == 0 -> lead = NONE :: else fi;
       for (i : 0 .. 1) {
         DOWN(sure[i]); DOWN(doubt[i]);
         DOWN(lease[i]);
         if :: lease[i] == 0 -> runs[i] = false :: else fi;
#ifndef NO_UNTIL
         DOWN(lateuntil[i]);
         if :: lateuntil[i] == 0 -> latefence[i] = 0 :: else fi
#endif
       }
       for (i : 0 .. 3) { DOWN(bound[i]) }
       i = 0 }
  :: atomic { lead != NONE -> lead = NONE; leadlease = 0 } /* the store takes the key away */
  :: atomic { latefence[0] > 0 -> carry(0, latefence[0], LATE(0)); latefence[0] = 0 }
  :: atomic { latefence[1] > 0 -> carry(1, latefence[1], LATE(1)); latefence[1] = 0 }
  od
}

init { atomic { run host(0); run host(1); run time() } }
