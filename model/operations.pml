/*
 * Core of docs/design.md 5.7 for one caller's own key and two daemons.
 *
 * Every step of a process can be delayed for any time, so pauses past a lease and lapsed leases need no model of
 * time: a daemon may take the range over at any moment while the other still believes that it is the owner. A
 * segment that was sent can take effect at any later time or never, and its answer is always lost: the writer reads
 * the store to learn what happened. Requests and dispatches stay in the network for any time.
 *
 * Guards that can be removed:
 *   START_EARLY      the operation is dispatched before its intent is in the journal
 *   NO_FENCE         a segment is written without compare-and-swap on its number
 *   NO_SEAL          a successor reads the journal without sealing it; its ledger is then incomplete
 *   RESTART_UNKNOWN  a successor treats an intent without an outcome as not started
 *   LATE_START       an operation refused by deadline starts when its delayed write succeeds
 *   NO_CONFIRM       a refusal says "not run" although the store has not confirmed the owner
 *   WEAK_CONFIRM     an own segment in the store counts as confirmation whatever is behind it
 *   TRUST_RESEND     as NO_CONFIRM, but only for the entry that cannot reach a daemon
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 3
#endif
#ifndef SEGMENTS
#define SEGMENTS 6
#endif
#define OWNERS 2
#define CRASHES 1

mtype = { none, intended, started, finished, unknown };
mtype = { nothing, intent, seal, answer, release };

typedef Segment { mtype kind = nothing; byte writer };
typedef Owner {
  bool sealing;
  bool owns;
  byte writer;       /* number of its takeover, unique */
  byte since;        /* order in which the daemons became owner */
  byte head;         /* last segment that it knows */
  mtype ledger = none;
  byte attempt;      /* attempt that the intended or started operation belongs to */
  bool refused;      /* the attempt has been refused by deadline */
  bool confirmed;    /* the store confirmed the owner after the attempt arrived */
  mtype writing = nothing;  /* segment whose fate is not known yet */
  mtype queued = nothing;   /* record to write next */
};
typedef Flight { mtype kind = nothing; byte number; byte writer };
typedef Inbox { bool has[ATTEMPTS + 1] };

Segment journal[SEGMENTS + 2];
byte top;
byte takeovers;
byte ownings;
byte crashes;
Owner owner[OWNERS];
Flight flight[OWNERS];
Inbox inbox[OWNERS];

byte sent;
bool isFirst[ATTEMPTS + 1];          /* the caller states that the key is new */
bool startedBefore[ATTEMPTS + 1];  /* the operation had started when the attempt was sent */
bool startedBy[ATTEMPTS + 1];
bool toldNotRun[ATTEMPTS + 1];
byte starts;
byte dispatched;   /* attempt on its way to a target */
byte dispatcher;   /* daemon that waits for the result, plus one */

inline tellNotRun(who) {
  assert(!startedBefore[who] && !startedBy[who]);
  toldNotRun[who] = true;
}

/* Refusal by a daemon that did not start the attempt. */
inline refuse(me, who) {
  if
#ifdef NO_CONFIRM
  :: true -> tellNotRun(who)
#else
  :: isFirst[who] || owner[me].confirmed -> tellNotRun(who)
  :: else -> skip
#endif
  fi
}

inline replay(me) {
  owner[me].head = top;
  owner[me].ledger = none;
  n = 1;
  do
  :: n > top -> break
  :: else ->
    if
    :: journal[n].kind == intent ->
#ifdef RESTART_UNKNOWN
      owner[me].ledger = none
#else
      owner[me].ledger = unknown
#endif
    :: journal[n].kind == answer -> owner[me].ledger = finished
    :: journal[n].kind == release -> owner[me].ledger = none
    :: else -> skip
    fi;
    n++
  od;
  n = 0
}

inline forget(me) {
  owner[me].owns = false; owner[me].sealing = false; owner[me].ledger = none; owner[me].attempt = 0;
  owner[me].refused = false; owner[me].confirmed = false; owner[me].writing = nothing; owner[me].queued = nothing
}

inline send(me, record) {
  flight[me].kind = record; flight[me].number = owner[me].head + 1; flight[me].writer = owner[me].writer;
  owner[me].writing = record
}

inline dispatch(me) {
  /* A successor knows of every operation that a former owner can still start. */
  assert(!(owner[1 - me].owns && owner[1 - me].since > owner[me].since && owner[1 - me].ledger == none));
  dispatched = owner[me].attempt; dispatcher = me + 1
}

proctype Daemon(byte i) {
  byte n, a;
  do
  /* Takes the range over: reads the journal, then seals it at the next number. */
  :: atomic { !owner[i].owns && !owner[i].sealing && takeovers < TAKEOVERS && top < SEGMENTS ->
       takeovers++; owner[i].writer = takeovers; owner[i].sealing = true; replay(i) }
  :: atomic { owner[i].sealing && top < SEGMENTS ->
       if
#ifdef NO_SEAL
       :: true -> owner[i].sealing = false; owner[i].owns = true; ownings++; owner[i].since = ownings
#else
       :: top == owner[i].head ->
         top++; journal[top].kind = seal; journal[top].writer = owner[i].writer;
         owner[i].head = top; owner[i].sealing = false; owner[i].owns = true; ownings++; owner[i].since = ownings
       :: else -> replay(i)
#endif
       fi }

  /* A request arrives. */
  :: atomic { !owner[i].sealing && (inbox[i].has[1] || inbox[i].has[2] || inbox[i].has[ATTEMPTS]) ->
       if
       :: inbox[i].has[1] -> a = 1
       :: inbox[i].has[2] -> a = 2
#if ATTEMPTS > 2
       :: inbox[i].has[3] -> a = 3
#endif
       fi;
       if
       :: !owner[i].owns -> inbox[i].has[a] = false; inbox[1 - i].has[a] = true
       :: owner[i].owns && owner[i].ledger == none && owner[i].queued != intent ->
         inbox[i].has[a] = false;
         owner[i].ledger = intended; owner[i].attempt = a; owner[i].refused = false;
         owner[i].confirmed = false; owner[i].queued = intent;
#ifdef START_EARLY
         if :: dispatched == 0 -> dispatch(i) :: else fi
#endif
       :: owner[i].owns && owner[i].ledger == finished ->
         inbox[i].has[a] = false; assert(starts > 0)
       :: owner[i].owns && owner[i].ledger == unknown -> inbox[i].has[a] = false
       :: else -> skip  /* a resend waits */
       fi;
       a = 0 }

  /* Sends the next segment, or the same one again after it was lost. */
  :: atomic { owner[i].owns && owner[i].writing == nothing && owner[i].queued != nothing && flight[i].kind == nothing && owner[i].head < SEGMENTS ->
       send(i, owner[i].queued); owner[i].queued = nothing }
  :: atomic { owner[i].owns && owner[i].writing != nothing && flight[i].kind == nothing && journal[owner[i].head + 1].kind == nothing ->
       send(i, owner[i].writing) }

  /* Reads the fate of its segment. */
  :: atomic { owner[i].owns && owner[i].writing != nothing && journal[owner[i].head + 1].kind != nothing ->
       if
       :: journal[owner[i].head + 1].writer == owner[i].writer ->
         owner[i].head++;
         if
         :: owner[i].writing == intent && owner[i].ledger == intended && owner[i].queued != intent && !owner[i].refused ->
           owner[i].ledger = started; owner[i].confirmed = true;
#ifndef START_EARLY
           if :: dispatched == 0 -> dispatch(i) :: else -> owner[i].ledger = unknown fi
#endif
         :: owner[i].writing == intent && owner[i].refused && owner[i].ledger == none ->
#ifdef LATE_START
           owner[i].ledger = started;
           if :: dispatched == 0 -> dispatch(i) :: else -> owner[i].ledger = unknown fi
#else
           owner[i].queued = release
#endif
         :: else -> skip
         fi;
         owner[i].writing = nothing
       :: else ->
         /* Fenced: the attempt is passed on to the other daemon. */
         if
         :: owner[i].ledger == intended -> inbox[1 - i].has[owner[i].attempt] = true
         :: else -> skip
         fi;
         forget(i)
       fi }

  /* Asks the store whether it is still the owner. */
  :: atomic { owner[i].owns && owner[i].ledger == intended && !owner[i].confirmed ->
       if
       :: top == owner[i].head -> owner[i].confirmed = true
       :: journal[owner[i].head + 1].writer == owner[i].writer ->
#ifdef WEAK_CONFIRM
         owner[i].confirmed = true
#else
         /* Its own segment has taken effect; a seal can be behind it. */
         owner[i].confirmed = (top == owner[i].head + 1)
#endif
       :: else -> skip
       fi }

  /* The deadline of the intended operation passes. Its segment may still take effect. */
  :: atomic { owner[i].owns && owner[i].ledger == intended ->
       refuse(i, owner[i].attempt);
       owner[i].ledger = none; owner[i].refused = true;
       if :: owner[i].queued == intent -> owner[i].queued = nothing :: else -> skip fi }

  /* Crash: memory is lost, what is in the network is not. */
  :: atomic { crashes < CRASHES && (owner[i].owns || owner[i].sealing) ->
       crashes++; forget(i);
       if :: dispatcher == i + 1 -> dispatcher = 0 :: else -> skip fi }
  od
}

/* Delivers or loses segments. */
proctype Network() {
  byte i;
  do
  :: atomic {
       if
       :: flight[0].kind != nothing -> i = 0
       :: flight[1].kind != nothing -> i = 1
       fi;
       if
#ifdef NO_FENCE
       :: flight[i].number <= SEGMENTS ->
         journal[flight[i].number].kind = flight[i].kind;
         journal[flight[i].number].writer = flight[i].writer;
         if :: top < flight[i].number -> top = flight[i].number :: else -> skip fi
#else
       :: flight[i].number == top + 1 && top < SEGMENTS ->
         top++; journal[top].kind = flight[i].kind; journal[top].writer = flight[i].writer
       :: flight[i].number <= top -> skip
#endif
       :: true -> skip  /* lost */
       fi;
       flight[i].kind = nothing; flight[i].number = 0; flight[i].writer = 0; i = 0 }
  od
}

/* Result of the dispatch for the daemon that waits for it. */
inline conclude(end, next) {
  if
  :: dispatcher > 0 && owner[dispatcher - 1].ledger == started ->
    owner[dispatcher - 1].ledger = end;
    if
    :: owner[dispatcher - 1].queued == nothing -> owner[dispatcher - 1].queued = next
    :: else -> skip
    fi
  :: else -> skip
  fi;
  dispatched = 0; dispatcher = 0
}

proctype Target() {
  do
  :: atomic { dispatched > 0 ->
       if
       :: true ->
         starts++; assert(starts <= 1);
         startedBy[dispatched] = true; assert(!toldNotRun[dispatched]);
         if
         :: true -> conclude(finished, answer)
         :: true -> conclude(unknown, nothing)  /* the target crashes or its answer is lost */
         fi
       :: true -> conclude(unknown, nothing)  /* lost on the way */
       :: true ->  /* an explicit not-started refusal */
         if
         :: dispatcher > 0 && owner[dispatcher - 1].ledger == started -> tellNotRun(dispatched)
         :: else -> skip
         fi;
         conclude(none, release)
       fi }
  od
}

/* Sends the key up to ATTEMPTS times through any daemon without waiting for answers. */
proctype Caller() {
  do
  :: atomic { sent < ATTEMPTS ->
       sent++;
       startedBefore[sent] = starts > 0;
       if
       :: sent == 1 -> isFirst[sent] = true
       :: true -> isFirst[sent] = false
       fi;
       if
       :: inbox[0].has[sent] = true
       :: inbox[1].has[sent] = true
       :: true ->  /* the entry can reach no daemon */
#ifdef TRUST_RESEND
         tellNotRun(sent)
#else
         if :: isFirst[sent] -> tellNotRun(sent) :: else -> skip fi
#endif
       fi }
  :: sent == ATTEMPTS -> break
  od
}

init {
  atomic { run Daemon(0); run Daemon(1); run Network(); run Target(); run Caller() }
}
