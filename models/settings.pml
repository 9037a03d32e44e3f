/* One team's subtree: two operators write on condition of a version, and
 * answers can be lost. An operator whose repeated write is refused learns from
 * the author mark whose write is stored. */

byte version = 1;      /* in the store */
byte writer = 0;       /* operator that wrote the stored version */
byte accepted[2];      /* version reported as accepted to an operator, 0: none */
byte conflicts = 0;
byte effects[2];       /* ghost: number of times that an operator's only change took effect */
byte stamped[6];       /* ghost: writer of each version */

inline put(me, based, done, landed) {
  done = false;
  landed = false;
  if
#ifdef MUTANT_UNCONDITIONAL
  :: true ->
#else
  :: version == based ->
#endif
     version++;
     at = version;
     writer = me;
     stamped[version] = me + 1;
     effects[me]++;
     landed = true;
     if
     :: done = true /* the answer arrives */
     :: true /* the answer is lost */
     fi
#ifndef MUTANT_UNCONDITIONAL
  :: version != based -> done = true
#endif
  :: true /* the write itself is lost */
  fi
}

proctype Operator(byte me) {
  byte based, tries, at;
  bool done, landed;
  atomic { based = version };
again:
  atomic { put(me, based, done, landed) };
  if
  :: done && landed -> atomic { accepted[me] = at }
  :: done && !landed ->
     atomic {
       /* refused: the stored write may be this operator's earlier attempt */
       if
#ifndef MUTANT_NO_MARK
       :: stamped[based + 1] == me + 1 -> accepted[me] = based + 1
#endif
       :: else -> conflicts++
       fi
     }
  :: !done && tries < 1 -> tries++; goto again
  :: !done && tries >= 1 -> skip /* reported as unknown: the write may have taken effect */
  fi
}

init {
  atomic {
    run Operator(0);
    run Operator(1)
  }
}

ltl once { [] (effects[0] <= 1 && effects[1] <= 1) }
ltl honest { [] ((accepted[0] != 0 -> effects[0] == 1) && (accepted[1] != 0 -> effects[1] == 1)) }
ltl nolost { [] (!(accepted[0] != 0 && accepted[0] == accepted[1])) }
ltl known { [] (conflicts < 2) }
