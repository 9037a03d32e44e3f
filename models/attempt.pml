/* One non-idempotent request at its ticket's home. Attempts go to two owners
 * over connections that can fall silent, deliver late or close. Owners can
 * restart and lose their memory. The model covers revocation with a fence per
 * connection and retry tokens.
 *
 * Each MUTANT_... macro removes one guard; check.sh requires that the checker
 * then finds a violation. */
#ifndef TOKENS
#define TOKENS 1
#endif
#define OWNERS 2
#define LINKS 4
#define ATTEMPTS 4

#ifdef MUTANT_NO_FENCE
#define ignoresFence true
#else
#define ignoresFence false
#endif
#ifdef MUTANT_NO_INCARNATION
#define ignoresIncarnation true
#else
#define ignoresIncarnation false
#endif

mtype = { Absent, Queued, Running, Done, Removed };
mtype = { Complete, Refused, NotStarted, Finished, Unknown };
mtype = { Open, ToldComplete, ToldNotRun, ToldUnknown };

typedef Sender { byte fenced; byte last[LINKS] };
typedef Owner_ { byte inc; byte restarts; mtype work[ATTEMPTS]; byte asked };

/* A link of an owner carries calls to the owner and answers back. */
chan calls[8] = [2] of { byte /* attempt */, byte /* addressed incarnation */ };
chan answers[8] = [2] of { mtype, byte /* attempt */ };
chan revokes[OWNERS] = [1] of { byte /* attempt */, byte /* link */, byte /* incarnation */ };
chan words[OWNERS] = [2] of { mtype, byte /* attempt */ };

Owner_ owner[OWNERS];
Sender sender[OWNERS];
byte runs = 0;      /* ghost: number of starts at backend servers */
byte attempts = 0;  /* ghost: number of attempts sent */
mtype told = Open;  /* outcome reported to the caller */

#define AT(o, l) ((o) * LINKS + (l))

inline answer(o, l, what, a) {
  if
  :: nfull(answers[AT(o, l)]) -> answers[AT(o, l)]!what, a
  :: true /* the answer is lost */
  fi
}

inline tell(o, what, a) {
  if
  :: nfull(words[o]) -> words[o]!what, a
  :: true /* the reply to the revocation is lost */
  fi
}

inline receive(o, l) {
  if
  :: meant != owner[o].inc && !ignoresIncarnation -> answer(o, l, Refused, a)
  :: else ->
     if
     :: l < sender[o].fenced && !ignoresFence -> answer(o, l, Refused, a)
     :: else ->
        if
        :: a + 1 > sender[o].last[l] -> sender[o].last[l] = a + 1
        :: else
        fi;
        if
        :: true -> owner[o].work[a] = Queued; place[a] = l
        :: true -> answer(o, l, Refused, a) /* shed on arrival */
        fi
     fi
  fi
}

inline settle(o) {
  if
  :: meant != owner[o].inc && !ignoresIncarnation -> tell(o, Unknown, a)
  :: else ->
     if
     :: l + 1 > sender[o].fenced -> sender[o].fenced = l + 1
     :: else
     fi;
     if
     :: owner[o].work[a] == Queued ->
        owner[o].work[a] = Removed;
        tell(o, NotStarted, a)
     :: owner[o].work[a] == Running -> owner[o].asked = a + 1
     :: owner[o].work[a] == Done ->
#ifdef MUTANT_FORGETS_FINISHED
        tell(o, NotStarted, a)
#else
        tell(o, Finished, a)
#endif
     :: owner[o].work[a] == Removed -> tell(o, NotStarted, a)
     :: owner[o].work[a] == Absent ->
        if
        :: sender[o].last[l] >= a + 1 -> tell(o, Unknown, a)
        :: else -> tell(o, NotStarted, a)
        fi
     fi
  fi
}

proctype OwnerNode(byte o) {
  byte a, l, meant;
  byte place[ATTEMPTS];
  do
  :: atomic { calls[AT(o, 0)]?a, meant -> receive(o, 0) }
  :: atomic { calls[AT(o, 1)]?a, meant -> receive(o, 1) }
  :: atomic { calls[AT(o, 2)]?a, meant -> receive(o, 2) }
  :: atomic { calls[AT(o, 3)]?a, meant -> receive(o, 3) }
  :: atomic { revokes[o]?a, l, meant -> settle(o) }
  :: atomic { /* dispatch */
       a = 0;
       do
       :: a < ATTEMPTS && owner[o].work[a] != Queued -> a++
       :: else -> break
       od;
       a < ATTEMPTS;
       owner[o].work[a] = Running;
       runs++
     }
  :: atomic { /* the backend server answers */
       a = 0;
       do
       :: a < ATTEMPTS && owner[o].work[a] != Running -> a++
       :: else -> break
       od;
       a < ATTEMPTS;
       owner[o].work[a] = Done;
       answer(o, place[a], Complete, a);
       if
       :: owner[o].asked == a + 1 -> owner[o].asked = 0; tell(o, Finished, a)
       :: else
       fi
     }
  :: atomic { /* the owner restarts and loses its memory */
       owner[o].restarts == 0;
       owner[o].restarts = 1;
       owner[o].inc++;
       owner[o].asked = 0;
       sender[o].fenced = 0;
       for (a : 0 .. ATTEMPTS - 1) { owner[o].work[a] = Absent }
       for (a : 0 .. LINKS - 1) { sender[o].last[a] = 0 }
     }
  :: atomic { timeout -> break }
  od
}

/* The owner of the next attempt: the other one. */
#define NEXT_OWNER ((at + 1) % OWNERS)

proctype Home() {
  byte tokens = TOKENS;
  byte at = 0;
  byte link[OWNERS]; /* per owner: the next connection to use */
  byte used;
  byte sentTo;
  byte a, seen;
  bool mayHaveRun = false;
  mtype what;
send:
  atomic {
    a = attempts;
    attempts++;
    used = link[at];
    sentTo = owner[at].inc; /* learned when the connection was set up */
    if
    :: nfull(calls[AT(at, used)]) -> calls[AT(at, used)]!a, sentTo
    :: true /* lost */
    fi
  }
wait:
  if
  :: atomic { answers[AT(at, used)]?what, seen;
       if
       :: seen != a -> goto wait /* a late answer is dropped */
       :: else
       fi }
     if
     :: what == Complete -> goto complete
     :: what == Refused -> goto notRun
     fi
  :: true -> goto doubt /* the connection is silent or closed */
  :: true -> goto unknown /* the deadline has passed */
  fi;
doubt:
#ifdef MUTANT_DOUBT_IS_NOT_RUN
  goto notRun;
#endif
  atomic {
    link[at] = used + 1;
    if
    :: nfull(revokes[at]) -> revokes[at]!a, used, sentTo
    :: true /* lost */
    fi
  }
waitWord:
  if
  :: atomic { words[at]?what, seen;
       if
       :: seen != a -> goto waitWord
       :: else
       fi }
     if
     :: what == NotStarted -> goto notRun
     :: what == Finished -> goto complete
     :: what == Unknown -> goto unknown
     fi
  :: true -> goto unknown /* no reply, or the deadline has passed */
  fi;
notRun:
  if
#ifdef MUTANT_FREE_RETRIES
  :: attempts < ATTEMPTS -> at = NEXT_OWNER; goto send
#else
  :: tokens > 0 -> tokens--; at = NEXT_OWNER; goto send
#endif
  :: true -> told = ToldNotRun; goto end
  fi;
complete:
  told = ToldComplete;
  goto end;
unknown:
  told = ToldUnknown;
end:
  skip
}

init {
  byte o;
  atomic {
    for (o : 0 .. OWNERS - 1) {
      owner[o].inc = 1;
      byte i;
      for (i : 0 .. ATTEMPTS - 1) { owner[o].work[i] = Absent }
    }
    run OwnerNode(0);
    run OwnerNode(1);
    run Home()
  }
}

ltl once { [] (runs <= 1) }
ltl truth { [] ((told == ToldNotRun) -> [] (runs == 0)) }
ltl bound { [] (attempts <= 1 + TOKENS) }
ltl answered { <> (told != Open) }
ltl whole { [] ((told == ToldComplete) -> (runs >= 1)) }
