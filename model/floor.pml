/*
 * Ejection floor of docs/design.md 5.4: homes eject targets of one service at the same time.
 *
 * A home reads the record, counts the targets that it can confirm, and writes the record back. A write can take
 * effect long after it was sent. Each target has one slot.
 *
 * Guard that can be removed:
 *   NO_COMPARE  the record is written without comparing its revision
 */
#define TARGETS 4
#define FLOOR 2
#define HOMES 3
#define WRITES 5

byte ejected;    /* bit set */
byte revision;

inline countInService(set, count) {
  n = 0; count = 0;
  do
  :: n == TARGETS -> break
  :: else -> if :: (set & (1 << n)) == 0 -> count++ :: else -> skip fi; n++
  od;
  n = 0
}

proctype Home(byte i) {
  byte seen, seenRevision, target, n, count, lost;
  do
  :: atomic { revision < WRITES -> seen = ejected; seenRevision = revision };
     /* A partial view confirms fewer targets. */
     if :: lost = 0 :: lost = 1 fi;
     if :: target = 0 :: target = 1 :: target = 2 :: target = 3 fi;
     atomic { countInService(seen | (1 << target), count) };
     if
     :: (seen & (1 << target)) == 0 && count - lost >= FLOOR && count >= lost ->
       /* Any delay lies between the count and the effect of the write. */
       if
       :: atomic {
#ifndef NO_COMPARE
            revision == seenRevision && revision < WRITES ->
#else
            revision < WRITES ->
#endif
            ejected = seen | (1 << target); revision++;
            countInService(ejected, count);
            assert(count >= FLOOR) }
#ifdef NO_COMPARE
       /* Without a compare the ejections are a set to which each home adds. */
       :: atomic { revision < WRITES ->
            ejected = ejected | (1 << target); revision++;
            countInService(ejected, count);
            assert(count >= FLOOR) }
#endif
       :: true -> skip  /* lost or refused */
       fi
     :: else -> skip
     fi;
     seen = 0; seenRevision = 0; target = 0; count = 0; lost = 0
  /* A release adds capacity and takes effect in the record later. */
  :: atomic { ejected != 0 && revision < WRITES ->
       if
       :: (ejected & 1) != 0 -> ejected = ejected & ~1
       :: (ejected & 2) != 0 -> ejected = ejected & ~2
       :: (ejected & 4) != 0 -> ejected = ejected & ~4
       :: (ejected & 8) != 0 -> ejected = ejected & ~8
       fi;
       revision++ }
  :: revision >= WRITES -> break
  od
}

init { atomic { run Home(0); run Home(1); run Home(2) } }
