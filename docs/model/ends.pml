/*
 * Ends of runs on the users' platform: one task, one worker, two hosts that hold in turn.
 *
 * A worker counts the ends of its runs from 1 in each of its lives and keeps each until it's
 * acknowledged. A holder stores what an end changes before it acknowledges it; its writes may
 * land late. A worker may start anew at any moment: what ran there is gone, its count begins again,
 * and connections to it break. An order may be carried out late, by the next life too. What must
 * hold: once the worker has forgotten the task's success as acknowledged, nobody starts it again.
 *
 * Not covered: a former holder's order that reaches the next life before anybody has looked at
 * that. Its fence is unset and the order names the same id, so nothing tells it from a new one; here
 * such an order is lost with the life that had refused it.
 *
 * A guard is left out by -DNO_STORE (ends are acknowledged before they are stored), NO_CHAIN
 * (writes land whoever holds), NO_LIFE (what was stored for a former life's ends acknowledges the
 * present one's), NO_ZERO (the first look after a broken connection acknowledges as the last one
 * did) or NO_CREW (tasks start on a worker whose life isn't in the store's record: a new life
 * has seen no fence, and a holder that doesn't know of its successor would start there what
 * the successor knows as done) or NO_ADRIFT (an order that may still be carried out is taken for
 * gone with the life that it was meant for); each gives a counterexample.
 */
#define TERMS 3
#define LIVES 2
#define MOST 2          /* ends of a life */
#define FAILED 1
#define DONE 2

byte term;
byte holder = 2;        /* 2: none */
byte chain;             /* term whose writes land */
bool stored;            /* the task's success is in the store */

byte life = 1;
byte fence;
bool runs;
byte ends;              /* of this life */
byte kind[4];           /* of each end */
byte forgotten;         /* ends up to here */
bool late;              /* an order that may still be carried out */
byte latefence;
bool noted;             /* a success was forgotten as acknowledged */

byte mine[2];           /* term of each host's tenure, 0 is none */
bool good[2];           /* its connection to the worker hasn't broken since the last look */
byte seen[2];           /* life */
byte heard[2];
byte acked[2];
byte crew[2];           /* life in the store's record, as each holder has written it */
bool known[2];          /* the task's success */
bool placed[2];
bool writes[2];         /* a write is under way, with what follows: */
bool wdone[2];
byte wheard[2];
byte wlife[2];
byte wterm[2];

inline begin(f) {
  if
  :: f >= fence -> fence = f; assert(!noted); runs = true
  :: else
  fi
}

inline claim(h) {
  term++; holder = h; chain = term;
  mine[h] = term; good[h] = false; seen[h] = life; heard[h] = 0; acked[h] = 0;
  known[h] = stored; placed[h] = false; crew[h] = 0
}

inline forget(n) {
  do
  :: forgotten < n && forgotten < ends ->
       forgotten++;
       if :: kind[forgotten] == DONE -> noted = true :: else fi
  :: else -> break
  od
}

#ifdef NO_ADRIFT
#define ADRIFT(h) (false)
#else
#define ADRIFT(h) (late && latefence == mine[h])
#endif

inline look(h) {
  if
  :: fence > mine[h] -> mine[h] = 0
  :: else ->
       fence = mine[h];
#ifndef NO_ZERO
       if :: good[h] -> forget(acked[h]) :: else fi;
#else
       forget(acked[h]);
#endif
       good[h] = true;
       if
       :: seen[h] != life -> seen[h] = life; heard[h] = 0; acked[h] = 0; placed[h] = ADRIFT(h)
       :: else
       fi;
       do
       :: heard[h] < ends ->
            heard[h]++;
            if :: heard[h] > forgotten && kind[heard[h]] == DONE -> known[h] = true :: else fi;
            placed[h] = false
       :: else -> break
       od;
       placed[h] = placed[h] || runs;
#ifdef NO_STORE
       acked[h] = heard[h]
#endif
  fi
}

inline land(h) { /* a write reaches the store */
  if
#ifndef NO_CHAIN
  :: wterm[h] == chain -> stored = wdone[h]
#else
  :: true -> stored = wdone[h]
#endif
  :: else
  fi;
  if
  :: mine[h] == wterm[h] && wterm[h] == chain ->
       if
#ifndef NO_LIFE
       :: wlife[h] == seen[h] && wheard[h] > acked[h] -> acked[h] = wheard[h]
#else
       :: wheard[h] > acked[h] -> acked[h] = wheard[h]
#endif
       :: else
       fi
  :: else
  fi;
  writes[h] = false
}

#ifdef NO_CREW
#define RECORDED(h) (true)
#else
#define RECORDED(h) (crew[h] == seen[h])
#endif

proctype host(byte h) {
  do
  :: atomic { mine[h] == 0 && term < TERMS && !writes[h] -> claim(h) } /* the former one may not know */
  :: atomic { mine[h] > 0 && mine[h] < term -> mine[h] = 0 }
  :: atomic { mine[h] > 0 -> look(h) }
  :: atomic { mine[h] > 0 && !writes[h] && (heard[h] > acked[h]) ->
       writes[h] = true; wdone[h] = known[h]; wheard[h] = heard[h]; wlife[h] = seen[h]; wterm[h] = mine[h] }
  :: atomic { writes[h] -> land(h) }
  :: atomic { mine[h] > 0 && mine[h] == chain && crew[h] != seen[h] -> crew[h] = seen[h] }
  :: atomic { mine[h] > 0 && good[h] && !known[h] && !placed[h] && !late && RECORDED(h) ->
       placed[h] = true;
       if
       :: begin(mine[h])
       :: late = true; latefence = mine[h]
       fi }
  :: atomic { mine[h] > 0 && !good[h] && placed[h] && !late -> placed[h] = false } /* its lease has lapsed */
  :: term == TERMS && mine[h] == 0 && !writes[h] -> break
  od
}

proctype worker() {
  do
  :: atomic { runs && ends < MOST -> runs = false; ends++; kind[ends] = DONE }
  :: atomic { runs && ends < MOST -> runs = false; ends++; kind[ends] = FAILED }
  :: atomic { late -> late = false; if :: latefence >= fence && !runs -> begin(latefence) :: else fi }
  :: atomic { life < LIVES -> /* it starts anew */
       if :: late && latefence < fence -> late = false :: else fi;
       life++; runs = false; ends = 0; forgotten = 0; fence = 0;
       good[0] = false; good[1] = false }
  od
}

init { atomic { run host(0); run host(1); run worker() } }
