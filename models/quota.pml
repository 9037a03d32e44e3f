/* Each node owns a share of a quota and moves it to one of two pools, which it
 * chooses by its own view of the mesh. The network loses and repeats moves. The
 * pools never give out more tokens than the nodes have moved. */
#define NODES 2
#define ROUNDS 2
#define MOST 12 /* bounds the tokens of a mutant */

byte owned = 0; /* shares of the quota until now */
byte spent = 0;
byte tokens[2];
byte last[4]; /* last move that a pool has counted, by pool and node */

chan net = [4] of { byte, byte, byte }; /* pool, node, sequence */

proctype Node(byte me) {
  byte sequence = 0;
  byte pool;
  do
  :: sequence < ROUNDS ->
     atomic {
       sequence++;
       owned++;
       if
       :: pool = 0
       :: pool = 1
       fi;
#ifdef MUTANT_TWO_ACCOUNTS
       net!0, me, sequence;
       net!1, me, sequence
#else
       net!pool, me, sequence
#endif
     }
  :: else -> break
  od
}

inline count(pool, node, sequence) {
  if
#ifdef MUTANT_NO_SEQUENCE
  :: tokens[pool] < MOST -> tokens[pool]++
#else
  :: sequence > last[pool * NODES + node] ->
     last[pool * NODES + node] = sequence;
     tokens[pool]++
#endif
  :: else
  fi
}

active proctype Network() {
  byte p, n, s;
end:
  do
  :: atomic { net?p, n, s -> skip } /* lost */
  :: atomic { net?p, n, s -> count(p, n, s) }
  :: atomic { net?p, n, s -> count(p, n, s); net!p, n, s } /* repeated */
  od
}

active proctype Pools() {
end:
  do
  :: atomic { tokens[0] > 0 && spent < MOST -> tokens[0]--; spent++ }
  :: atomic { tokens[1] > 0 && spent < MOST -> tokens[1]--; spent++ }
  od
}

init {
  atomic {
    run Node(0);
    run Node(1)
  }
}

ltl bound { [] (spent <= owned) }
