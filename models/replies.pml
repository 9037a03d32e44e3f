/* Two callers' attempts share one connection; answers come in any order, also
 * after their request has failed. No answer may reach the other caller. */
chan wire = [4] of { byte /* attempt */, byte /* content of the answer */ };
byte owner[6];    /* attempt -> caller that waits for it, 0: none */
byte got[3];      /* caller -> content of the answer it got */
byte last = 0;    /* attempt ids are never reused */

proctype Caller(byte me) {
  byte a;
  byte tries;
  do
  :: tries < 2 && last < 3 ->
     atomic {
#ifdef MUTANT_REUSES_IDS
       a = 1;
#else
       last++;
       a = last;
#endif
       owner[a] = me
     }
     atomic { nfull(wire) -> wire!a, me } /* the answer in transit */
     tries++;
     if
     :: atomic { got[me] != 0 -> break }
     :: atomic { true -> owner[a] = 0 } /* the request fails; its answer is late */
     fi
  :: else -> break
  od
}

active proctype Receiver() {
  byte a, content;
  do
  :: atomic { wire?a, content ->
       if
       :: owner[a] != 0 -> got[owner[a]] = content; owner[a] = 0
       :: else
       fi
     }
  :: atomic { wire?a, content -> wire!a, content } /* out of order */
  :: atomic { timeout -> break }
  od
}

init { atomic { run Caller(1); run Caller(2) } }

ltl own { [] ((got[1] == 0 || got[1] == 1) && (got[2] == 0 || got[2] == 2)) }
