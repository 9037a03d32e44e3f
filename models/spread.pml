/* A node receives versions from the platform's watch and from a peer, in any
 * order and more than once. The version in force never decreases. */
#define LAST 5

byte version = 1; /* in the store */
byte force[2];    /* version in force on each of two nodes */

chan news[2] = [3] of { byte };

active proctype Writer() {
  do
  :: atomic { version < LAST -> version++ }
  :: version == LAST -> break
  od
}

/* The platform's watch and the peers deliver old and new versions repeatedly. */
active proctype Spread() {
  byte v;
  do
  :: atomic { nfull(news[0]) && force[0] < LAST -> news[0]!version }
  :: atomic { nfull(news[1]) && force[1] < LAST -> news[1]!version }
  :: atomic { nfull(news[1]) && force[0] > 0 -> news[1]!force[0] }
  :: atomic { nfull(news[0]) && force[1] > 0 -> news[0]!force[1] }
  :: atomic { news[0]?v -> news[0]!v } /* reordering */
  :: atomic { timeout -> break }
  od
}

bool back = false; /* ghost: a node returned to an older version */

proctype Node(byte me) {
  byte v;
  do
  :: atomic { news[me]?v ->
       if
#ifdef MUTANT_TAKES_ANY
       :: v < force[me] -> back = true; force[me] = v
#endif
       :: v > force[me] -> force[me] = v
       :: else
       fi
     }
  :: atomic { timeout -> break }
  od
}

init {
  atomic {
    run Node(0);
    run Node(1)
  }
}

ltl monotone { [] (!back) }
