import type { RandomSource } from '../../api/index.js';
import { noFaults } from './FakeStoreClient.js';
import type { SimulatedDaemon } from './SimulatedDaemon.js';
import type { SimulatedFleet } from './SimulatedFleet.js';

/** Mean time between the starts of two faults, which can overlap. */
const meanIntervalMs = 2500;
/** Maximum duration of a fault, well above the 9 s of an owner's lease. */
const maxDurationMs = 25_000;

type Fault = (fleet: SimulatedFleet, random: RandomSource, duration: number) => void;

function pickDaemon(fleet: SimulatedFleet, random: RandomSource): SimulatedDaemon {
  return fleet.daemon(Math.floor(random() * 4));
}

const pause: Fault = (fleet, random, duration) => {
  const daemon = pickDaemon(fleet, random);
  daemon.clock.pause();
  fleet.clock.after(duration, () => daemon.clock.resume());
};

const crash: Fault = (fleet, random, duration) => {
  const daemon = pickDaemon(fleet, random);
  if (!daemon.isKilled) fleet.restart(daemon, duration / 4);
};

const plannedStop: Fault = (fleet, random) => {
  const daemon = pickDaemon(fleet, random);
  if (!daemon.isKilled && !daemon.isStopping) void fleet.replace(daemon);
};

const storeDown: Fault = (fleet, _random, duration) => {
  fleet.store.isDown = true;
  fleet.clock.after(duration / 2, () => {
    fleet.store.isDown = false;
  });
};

const storeFault: Fault = (fleet, random, duration) => {
  const daemon = pickDaemon(fleet, random);
  const kinds = [
    { areRequestsLost: true },
    { areAnswersLost: true },
    { lostAnswerShare: 0.3 },
    { delayedWriteShare: 0.4 },
    { slowness: 200 },
  ];
  Object.assign(daemon.faults, kinds[Math.floor(random() * kinds.length)]);
  fleet.clock.after(duration, () => Object.assign(daemon.faults, noFaults()));
};

const cutOneWay: Fault = (fleet, random, duration) => {
  const link = `${pickDaemon(fleet, random).id}>${pickDaemon(fleet, random).id}`;
  fleet.blockedLinks.add(link);
  fleet.clock.after(duration, () => fleet.blockedLinks.delete(link));
};

/** Isolates a daemon: callers can reach it, but it has no connection to the store or to other daemons. */
const isolate: Fault = (fleet, random, duration) => {
  const daemon = pickDaemon(fleet, random);
  const links = [0, 1, 2, 3]
    .map((number) => fleet.daemon(number).id)
    .flatMap((other) => [`${daemon.id}>${other}`, `${other}>${daemon.id}`]);
  links.forEach((link) => fleet.blockedLinks.add(link));
  daemon.faults.areRequestsLost = true;
  fleet.clock.after(duration, () => {
    links.forEach((link) => fleet.blockedLinks.delete(link));
    Object.assign(daemon.faults, noFaults());
  });
};

const faults: readonly Fault[] = [
  pause,
  pause,
  crash,
  plannedStop,
  storeDown,
  storeFault,
  storeFault,
  cutOneWay,
  isolate,
  isolate,
];

/** Injects random faults until `end` (`Clock.elapsed`). */
export function injectFaults(fleet: SimulatedFleet, random: RandomSource, end: number): void {
  const now = fleet.clock.elapsed();
  if (now >= end) return;
  const fault = faults[Math.floor(random() * faults.length)];
  fault?.(fleet, random, 500 + random() * maxDurationMs);
  fleet.clock.after(random() * 2 * meanIntervalMs, () => injectFaults(fleet, random, end));
}
