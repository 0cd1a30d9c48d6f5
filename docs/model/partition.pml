/*
 * A task on a worker, its holder, and the successors of that holder, with the store and two followers.
 *
 * The first holder has the task running. It renews the worker's lease for SURE ticks after its last
 * confirmation, up to LEASE ticks after it. Confirmations come from the store while it names this holder, and
 * from more than half of the followers, as of the time of asking. A successor needs the store alone. It doesn't
 * reach the worker, and starts the task again once LEASE ticks have passed since half of the followers
 * promised its term, and the store has named it after that. The second successor may reach the worker instead, and renews
 * its lease. Followers restart, which makes them forget, and any message may be lost or late. What
 * must hold: no successor starts the task while it runs.
 *
 * A guard is left out by -DNO_RELEASE (the wait counts from the claim), NO_PROMISE (followers confirm older
 * terms), NO_ID (followers that have restarted confirm), FEWER (less than half release), NO_ASKED (confirmed as of the
 * reply) or NO_RECORD (the second successor asks the first one's followers only); each gives a counterexample. With NO_CLEAR
 * (the wait ends without the store) none is found.
 */
#define LEASE 2
#define SURE 2
#define F 2
#define NONE 3
#ifndef TERMS
#define TERMS 2
#endif

byte term = 1;          /* that the store names */
byte lease = LEASE;     /* ticks until the run ends */
byte fence = 1;         /* of the worker */
byte age[4] = SURE;     /* by term: ticks since the last confirmation, SURE at most */
byte asked[4] = NONE;   /* ticks since the question that is under way, or NONE */
byte votes[4];          /* followers that have confirmed in answer to it, as bits */
byte promised[4];       /* followers that have promised the term, as bits */
byte doubt[4];          /* ticks left of the wait */
bool released[4];
byte newest[F];         /* newest term that each follower knows */
bool restarted[F];      /* it has restarted since the first holder stored its voters */

#define BIT(f) (1 << (f))
#define COUNT(b) (((b) & 1) + (((b) >> 1) & 1))
#define LESSER(a, b) ((a) < (b) -> (a) : (b))
#define GREATER(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_PROMISE
#define VOTES(f, t) (true)
#else
#define VOTES(f, t) (newest[f] <= t)
#endif
#ifdef NO_ID
#define VOTER(f) (true)
#else
#define VOTER(f) (!restarted[f])
#endif
#ifdef FEWER
#define ENOUGH(b) (COUNT(b) >= F / 2 - 1)
#else
#define ENOUGH(b) (COUNT(b) >= F / 2)
#endif
#ifdef NO_ASKED
#define SINCE(t) 0
#else
#define SINCE(t) asked[t]
#endif
#ifdef NO_CLEAR
#define CLEAR(t) (age[t] < SURE)
#else
#define CLEAR(t) (term == t)
#endif

inline claim(t) {
  term = t; age[t] = 0; doubt[t] = LEASE;
#ifdef NO_RELEASE
  released[t] = true
#endif
#ifdef NO_RECORD
  released[t] = (t == 3)
#endif
}

active proctype holders() {
  byte t, f;
  do
  :: atomic { term < TERMS -> t = term + 1; claim(t); t = 0 }
  :: atomic { age[term] > 0 -> age[term] = 0 }                        /* the store confirms */
  :: atomic { /* followers are asked, answer, and confirm */
       select(t : 1 .. TERMS);
       if
       :: t <= term && asked[t] == NONE && age[t] < SURE -> asked[t] = 0; votes[t] = 0
       :: t <= term && asked[t] != NONE -> asked[t] = NONE; votes[t] = 0
       :: else
       fi; t = 0 }
  :: atomic {
       select(t : 1 .. 2); select(f : 0 .. F - 1);
       if
       :: asked[t] != NONE && VOTES(f, t) && VOTER(f) ->
          votes[t] = votes[t] | BIT(f);
          if
          :: 2 * COUNT(votes[t]) > F -> age[t] = LESSER(age[t], SINCE(t)); asked[t] = NONE; votes[t] = 0
          :: else
          fi
       :: else
       fi; t = 0; f = 0 }
  :: atomic { /* a follower promises */
       select(t : 2 .. TERMS); select(f : 0 .. F - 1);
       if
       :: t <= term && !released[t] -> newest[f] = GREATER(newest[f], t); promised[t] = promised[t] | BIT(f)
       :: else
       fi; t = 0; f = 0 }
  :: atomic {
       select(t : 2 .. TERMS);
       if
       :: t <= term && !released[t] && ENOUGH(promised[t]) -> released[t] = true; doubt[t] = LEASE; promised[t] = 0
       :: else
       fi; t = 0 }
  :: atomic { select(f : 0 .. F - 1); newest[f] = 0; restarted[f] = true; f = 0 } /* a follower restarts */
  :: atomic { fence == 1 && lease > 0 && age[1] < SURE -> lease = GREATER(lease, LEASE - age[1]) }
  :: atomic { /* the second successor reaches the worker */
       term == 3 && lease > 0 && age[3] < SURE -> fence = 3; lease = GREATER(lease, LEASE - age[3]) }
  :: atomic { /* a successor starts the task */
       select(t : 2 .. TERMS);
       if
       :: t <= term && fence < t && released[t] && doubt[t] == 0 && CLEAR(t) -> assert(lease == 0)
       :: else
       fi; t = 0 }
  :: atomic { /* a tick */
       if :: lease > 0 -> lease-- :: else fi;
       for (t : 1 .. TERMS) {
         age[t] = LESSER(age[t] + 1, SURE);
         if :: asked[t] != NONE -> asked[t]++ :: else fi;
         if :: asked[t] != NONE && asked[t] >= SURE -> asked[t] = NONE; votes[t] = 0 :: else fi;
         if :: doubt[t] > 0 -> doubt[t]-- :: else fi
       }
       t = 0 }
  od
}
