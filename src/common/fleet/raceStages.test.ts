import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { raceStages, type RaceWin } from './raceStages.js';

/** How a contender ends: milliseconds after its start, and whether it succeeds. */
interface Outcome {
  readonly after: number;
  readonly isSuccess: boolean;
  /** Milliseconds after its start until which parts of its response arrive. */
  readonly progressUntil?: number;
}

const succeeds = (after: number): Outcome => ({ after, isSuccess: true });
const fails = (after: number): Outcome => ({ after, isSuccess: false });

/** Races the contenders a, b and c, which start at 0, 100 and 200 ms if nothing else happens. */
function race(outcomes: Readonly<Record<string, Outcome>>) {
  const clock = new VirtualClock();
  const abort = new AbortController();
  const started: string[] = [];
  const aborted: string[] = [];
  const stages = ['a', 'b', 'c'].map((name, index) => ({
    delay: index * 100,
    maxPostponement: 1_000,
    contenders: () => (outcomes[name] === undefined ? [] : [name]),
  }));
  const end: { win?: RaceWin<string, string>; error?: unknown; at?: number } = {};
  const run = (name: string, signal: AbortSignal, onProgress: () => void): Promise<string> => {
    started.push(`${name} ${clock.elapsed()}`);
    signal.addEventListener('abort', () => aborted.push(name));
    return new Promise((resolve, reject) => {
      const { after, isSuccess, progressUntil = 0 } = outcomes[name] ?? succeeds(0);
      for (let time = 50; time <= progressUntil; time += 50) clock.after(time, onProgress);
      clock.after(after, () => (isSuccess ? resolve(name) : reject(new Error(name))));
    });
  };
  raceStages(stages, run, clock, abort.signal).then(
    (win) => Object.assign(end, { win, at: clock.elapsed() }),
    (error: unknown) => Object.assign(end, { error, at: clock.elapsed() }),
  );
  return { clock, abort, started, aborted, end };
}

describe('raceStages', () => {
  const cases: readonly {
    readonly name: string;
    readonly outcomes: Readonly<Record<string, Outcome>>;
    readonly winner: string | undefined;
    readonly at: number;
    readonly started: readonly string[];
    readonly overtaken?: readonly string[];
  }[] = [
    {
      name: 'asks nobody else if the first one answers',
      outcomes: { a: succeeds(50), b: succeeds(0) },
      winner: 'a',
      at: 50,
      started: ['a 0'],
    },
    {
      name: 'asks the next one when the first is silent',
      outcomes: { a: succeeds(1_000), b: succeeds(10) },
      winner: 'b',
      at: 110,
      started: ['a 0', 'b 100'],
      overtaken: ['a'],
    },
    {
      name: 'asks the next one at once when the first has failed',
      outcomes: { a: fails(5), b: succeeds(10) },
      winner: 'b',
      at: 15,
      started: ['a 0', 'b 5'],
    },
    {
      name: 'waits for one that still runs when another fails',
      outcomes: { a: succeeds(150), b: fails(10), c: succeeds(500) },
      winner: 'a',
      at: 150,
      started: ['a 0', 'b 100'],
    },
    {
      name: 'asks nobody else while a response arrives, since more transfers would slow it down',
      outcomes: { a: { ...succeeds(900), progressUntil: 900 }, b: succeeds(10) },
      winner: 'a',
      at: 900,
      started: ['a 0'],
    },
    {
      name: 'asks the next one when a response stops arriving',
      outcomes: { a: { ...succeeds(2_000), progressUntil: 200 }, b: succeeds(10) },
      winner: 'b',
      at: 510,
      started: ['a 0', 'b 500'],
      overtaken: ['a'],
    },
    {
      name: 'asks the next one when a response arrives for too long',
      outcomes: { a: { ...succeeds(9_000), progressUntil: 9_000 }, b: succeeds(10) },
      winner: 'b',
      at: 1_110,
      started: ['a 0', 'b 1100'],
      overtaken: ['a'],
    },
    {
      name: 'skips a group without members',
      outcomes: { a: fails(5), c: succeeds(10) },
      winner: 'c',
      at: 15,
      started: ['a 0', 'c 5'],
    },
    {
      name: 'fails once all have failed',
      outcomes: { a: fails(5), b: fails(5), c: fails(5) },
      winner: undefined,
      at: 15,
      started: ['a 0', 'b 5', 'c 10'],
    },
  ];
  cases.forEach(({ name, outcomes, winner, at, started, overtaken = [] }) => {
    it(name, async () => {
      const run = race(outcomes);
      await run.clock.advanceAsync(2_000);
      expect(run.end.win?.contender).to.equal(winner);
      expect(run.end.at).to.equal(at);
      expect(run.started).to.deep.equal(started);
      expect(run.end.win?.overtaken ?? []).to.deep.equal(overtaken);
    });
  });

  it('aborts the others when one has answered', async () => {
    const { clock, aborted } = race({ a: succeeds(1_000), b: succeeds(10) });
    await clock.advanceAsync(500);
    expect(aborted).to.deep.equal(['a']);
  });

  it('ends and starts nothing more when it is cancelled', async () => {
    const { clock, abort, aborted, started, end } = race({ a: succeeds(1_000), b: succeeds(10) });
    await clock.advanceAsync(50);
    abort.abort();
    await clock.advanceAsync(500);
    expect(aborted).to.deep.equal(['a']);
    expect(started).to.deep.equal(['a 0']);
    expect(String(end.error)).to.contain('cancelled');
  });
});
