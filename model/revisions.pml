/*
 * Configuration revisions of docs/design.md 5.2: operators swap the head, daemons learn it from the store and from
 * each other in messages of any age.
 *
 * Guards that can be removed:
 *   ACCEPT_OLDER  a daemon puts any revision in force that it is offered
 *   NO_COMPARE    the head is written without comparing the revision on which the change is based
 */
#define DAEMONS 3
#define REVISIONS 5

byte head;
byte inForce[DAEMONS];
byte message[DAEMONS];      /* oldest offer that is still in the network */

proctype Operator() {
  byte seen;
  do
  :: head < REVISIONS ->
     seen = head;
     if
     :: atomic {
#ifndef NO_COMPARE
          head == seen && head < REVISIONS ->
#else
          seen < REVISIONS ->
#endif
          assert(head == seen);  /* a change that was based on an older head would undo another */
          head = seen + 1 }
     :: true -> skip  /* conflict: the operator sees both versions and starts again */
     fi;
     seen = 0
  :: head == REVISIONS -> break
  od
}

inline offer(i, revision) {
  if
#ifdef ACCEPT_OLDER
  :: true ->
#else
  :: revision > inForce[i] ->
#endif
    assert(revision >= inForce[i]);
    inForce[i] = revision
#ifndef ACCEPT_OLDER
  :: else -> skip
#endif
  fi
}

proctype Daemon(byte i) {
  byte peer;
  do
  /* Reads the head from the store. */
  :: atomic { inForce[i] != head -> offer(i, head) }
  /* Sends its revision to a peer; the message can stay in the network while both go on. */
  :: atomic { message[(i + 1) % DAEMONS] == 0 && inForce[i] > 0 ->
       message[(i + 1) % DAEMONS] = inForce[i] }
  :: atomic { message[i] != 0 -> offer(i, message[i]); message[i] = 0 }
  :: atomic { message[i] != 0 -> message[i] = 0 }
  od
}

init {
  atomic {
    run Operator(); run Operator();
    run Daemon(0); run Daemon(1); run Daemon(2)
  }
}
