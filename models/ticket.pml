/* A ticket and its home: entries forward requests that carry the ticket, callers
 * repeat them, and the home restarts or is paused until the ticket has expired. */
#define REPEATS 3

mtype = { Start, Replay, Gone };

byte inc = 1;          /* incarnation of the home */
byte issued = 1;       /* incarnation that issued the ticket */
bool used = false;     /* the home has a record that the ticket was used */
bool expired = false;
bool forgotten = false;
byte runs = 0;
byte told = 0;         /* ghost: 1 if not-run was reported to a caller */
bool refusedAll = true;

chan toHome = [2] of { byte };
chan fromHome = [2] of { mtype };

active proctype HomeNode() {
  byte id;
  do
  :: atomic { toHome?id ->
       if
#ifndef MUTANT_NO_LIFE_CHECK
       :: issued != inc -> fromHome!Gone
#endif
#ifndef MUTANT_NO_EXPIRY_CHECK
       :: issued == inc && expired -> fromHome!Gone
#endif
       :: else ->
          if
          :: used -> fromHome!Replay
          :: else ->
#ifndef MUTANT_RECORD_AFTER_RUN
             used = true;
#endif
             runs++;
             fromHome!Start
          fi
       fi
     }
#ifdef MUTANT_RECORD_AFTER_RUN
  :: atomic { runs > 0 && !used && empty(toHome) -> used = true }
#endif
  :: atomic { inc == 1 -> inc = 2; used = false; forgotten = true }
  :: atomic { !expired -> expired = true }
  :: atomic { expired && used -> used = false } /* the home drops the record */
  :: atomic { timeout -> break }
  od
}

proctype Entry(byte id) {
  mtype what;
  if
  :: toHome!id;
     if
     :: fromHome?what ->
        if
        :: what == Start || what == Replay -> told = told
        :: what == Gone -> skip /* reported as unknown */
        fi
     :: true /* the answer is lost: reported as unknown */
     fi
  :: true /* the home is unreachable: reported as unknown */
  fi
}

init {
  byte i;
  atomic { for (i : 1 .. REPEATS) { run Entry(i) } }
}

ltl once { [] (runs <= 1) }
