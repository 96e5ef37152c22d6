import type { RandomSource } from '../../api/index.js';
import { noFaults } from './FakeStoreClient.js';
import type { SimulatedDaemon } from './SimulatedDaemon.js';
import type { SimulatedFleet } from './SimulatedFleet.js';

/** Milliseconds between two faults; they overlap. */
const meanInterval = 2500;
/** Longest fault in milliseconds, well past the lease of 9 s. */
const longestFault = 25_000;

type Fault = (fleet: SimulatedFleet, random: RandomSource, duration: number) => void;

function pick(fleet: SimulatedFleet, random: RandomSource): SimulatedDaemon {
  return fleet.daemon(Math.floor(random() * 4));
}

const pause: Fault = (fleet, random, duration) => {
  const daemon = pick(fleet, random);
  daemon.clock.pause();
  fleet.clock.after(duration, () => daemon.clock.resume());
};

const crash: Fault = (fleet, random, duration) => {
  const daemon = pick(fleet, random);
  if (!daemon.isEnded) fleet.restart(daemon, duration / 4);
};

const plannedStop: Fault = (fleet, random) => {
  const daemon = pick(fleet, random);
  if (!daemon.isEnded && !daemon.isLeaving) void fleet.replace(daemon);
};

const storeDown: Fault = (fleet, _random, duration) => {
  fleet.store.isDown = true;
  fleet.clock.after(duration / 2, () => {
    fleet.store.isDown = false;
  });
};

const storeFault: Fault = (fleet, random, duration) => {
  const daemon = pick(fleet, random);
  const kinds = [
    { isRequestCut: true },
    { isAnswerCut: true },
    { lostShare: 0.3 },
    { lateShare: 0.4 },
    { slowness: 200 },
  ];
  Object.assign(daemon.faults, kinds[Math.floor(random() * kinds.length)]);
  fleet.clock.after(duration, () => Object.assign(daemon.faults, noFaults()));
};

const oneWayCut: Fault = (fleet, random, duration) => {
  const way = `${pick(fleet, random).id}>${pick(fleet, random).id}`;
  fleet.cuts.add(way);
  fleet.clock.after(duration, () => fleet.cuts.delete(way));
};

/** A region on its own: callers reach the daemon, but neither the store nor another daemon does. */
const isolate: Fault = (fleet, random, duration) => {
  const daemon = pick(fleet, random);
  const ways = [0, 1, 2, 3]
    .map((number) => fleet.daemon(number).id)
    .flatMap((other) => [`${daemon.id}>${other}`, `${other}>${daemon.id}`]);
  ways.forEach((way) => fleet.cuts.add(way));
  daemon.faults.isRequestCut = true;
  fleet.clock.after(duration, () => {
    ways.forEach((way) => fleet.cuts.delete(way));
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
  oneWayCut,
  isolate,
  isolate,
];

/** Injects random faults until `end` (`Clock.elapsed`). */
export function injectFaults(fleet: SimulatedFleet, random: RandomSource, end: number): void {
  const now = fleet.clock.elapsed();
  if (now >= end) return;
  const fault = faults[Math.floor(random() * faults.length)];
  fault?.(fleet, random, 500 + random() * longestFault);
  fleet.clock.after(random() * 2 * meanInterval, () => injectFaults(fleet, random, end));
}
