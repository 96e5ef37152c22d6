import { expect } from 'chai';
import { createRandom } from '../base/index.js';
import type { RandomSource } from '../base/index.js';
import type { OutcomeKind } from '../services/Types.js';
import { HealthTracker } from './HealthTracker.js';
import type { PeerView, ProbeOutcome, Verdict } from './Types.js';

const serviceTimes: Readonly<Record<string, number>> = { short: 20, long: 1_000 };
const seeds = [11, 23, 37];

/** Traffic of one phase, by default at 10 requests/s. */
interface Phase {
  readonly seconds: number;
  readonly longShare?: number;
  readonly slowness?: number;
  readonly badShare?: number;
  readonly bad?: OutcomeKind;
  readonly badLatency?: number;
  readonly stragglerShare?: number;
  readonly probe?: ProbeOutcome['kind'];
  readonly rate?: number;
}

interface Observation {
  readonly worst: Verdict;
  /** Seconds from the start of the last phase to the first suspicion. */
  readonly suspectedAfter: number;
}

class TrafficSimulation {
  private now = 0;

  public constructor(
    public readonly tracker: HealthTracker,
    private readonly random: RandomSource,
  ) {}

  public run(phase: Phase): Observation {
    const { seconds, rate = 10 } = phase;
    const start = this.now;
    let worst = this.tracker.verdict(this.now);
    let suspectedAfter = Infinity;
    while (this.now < start + seconds * 1000) {
      this.now += 1000 / rate;
      this.request(phase);
      const verdict = this.tracker.verdict(this.now);
      if (verdict.severity > worst.severity) worst = verdict;
      const isSuspected = verdict.health === 'suspect' || verdict.health === 'sick';
      if (isSuspected) suspectedAfter = Math.min(suspectedAfter, (this.now - start) / 1000);
    }
    return { worst, suspectedAfter };
  }

  public get time(): number {
    return this.now;
  }

  /** Advances the time without any request ending. */
  public wait(seconds: number): Verdict {
    this.now += seconds * 1000;
    return this.tracker.verdict(this.now);
  }

  public begin(count: number): void {
    for (let index = 0; index < count; index += 1) this.tracker.begin('short', this.now);
  }

  private request(phase: Phase): void {
    const { longShare = 0.1, slowness = 1, badShare = 0, bad = 'server-error' } = phase;
    if (phase.probe !== undefined) this.tracker.recordProbe({ kind: phase.probe }, this.now);
    const route = this.random() < longShare ? 'long' : 'short';
    const stragglerFactor = this.random() < (phase.stragglerShare ?? 0) ? 50 : 1;
    const spread = Math.exp(this.random() - 0.5);
    const latency = (serviceTimes[route] ?? 0) * slowness * stragglerFactor * spread;
    if (this.random() < badShare) {
      this.tracker.record({ kind: bad, route, latency: phase.badLatency ?? 1 }, this.now);
    } else this.tracker.record({ kind: 'success', route, latency }, this.now);
  }
}

const learningPhase: Phase = { seconds: 120 };
const failingPhase = (bad: OutcomeKind): Phase => ({ seconds: 6, badShare: 1 / 3, bad });
const slowPhase: Phase = { seconds: 6, slowness: 10 };

function peersAt(slowness: number): PeerView {
  const routes = Object.entries(serviceTimes).map(
    ([route, value]) => [route, value * slowness] as const,
  );
  return { peers: 7, errorRate: 0, routes: new Map(routes) };
}

const slowPeers = peersAt(10);
const normalPeers = peersAt(1);

describe('HealthTracker', () => {
  const healthyCases: readonly {
    name: string;
    phase: Phase;
    peers?: PeerView;
    isCold?: boolean;
  }[] = [
    { name: 'stragglers of 0.5%', phase: { seconds: 3_600, stragglerShare: 0.005 } },
    { name: 'a change of the mix to long requests', phase: { seconds: 60, longShare: 0.9 } },
    { name: 'shed load', phase: { seconds: 60, badShare: 0.9, bad: 'shed' } },
    { name: 'cancelled requests', phase: { seconds: 60, badShare: 0.9, bad: 'cancelled' } },
    {
      name: 'timeouts of callers below the slow limit',
      phase: { seconds: 60, badShare: 0.5, bad: 'timeout', badLatency: 10 },
    },
    {
      name: 'a slowdown of all peers whose long requests have not ended',
      phase: { seconds: 60, slowness: 10, longShare: 0.9 },
      peers: { ...slowPeers, routes: new Map([['short', 200]]) },
    },
    { name: 'a slowdown of all peers', phase: { seconds: 60, slowness: 10 }, peers: slowPeers },
    {
      name: 'errors of all peers',
      phase: { seconds: 60, badShare: 0.3 },
      peers: { peers: 7, errorRate: 0.3, routes: new Map() },
    },
    {
      name: 'a health endpoint that wrongly reports a healthy target as unhealthy',
      phase: { seconds: 60, probe: 'unhealthy' },
    },
  ];
  healthyCases.forEach(({ name, phase, peers }) => {
    it(`does not suspect a target for ${name}`, () => {
      seeds.forEach((seed) => {
        const simulation = new TrafficSimulation(new HealthTracker(0), createRandom(seed));
        simulation.run(learningPhase);
        if (peers !== undefined) simulation.tracker.setPeers(peers);
        const { suspectedAfter } = simulation.run(phase);
        expect(suspectedAfter, `seed ${seed}`).to.equal(Infinity);
      });
    });
  });

  const sickCases: readonly { name: string; phase: Phase; cause: string }[] = [
    { name: '1 error in 3', phase: failingPhase('server-error'), cause: 'errors' },
    { name: '1 truncated answer in 3', phase: failingPhase('truncated'), cause: 'errors' },
    { name: '1 wrong answer in 3', phase: failingPhase('invalid'), cause: 'errors' },
    { name: '1 reset in 3', phase: failingPhase('reset'), cause: 'errors' },
    { name: 'a slowdown of 10', phase: slowPhase, cause: 'slow' },
    {
      name: 'errors while the health endpoint reports it as healthy',
      phase: { ...failingPhase('server-error'), probe: 'healthy' },
      cause: 'errors',
    },
    {
      name: 'failing probes and few requests',
      phase: { seconds: 6, rate: 2, probe: 'unreachable' },
      cause: 'errors',
    },
  ];
  sickCases.forEach(({ name, phase, cause }) => {
    it(`suspects a target within 6 s for ${name}`, () => {
      seeds.forEach((seed) => {
        const simulation = new TrafficSimulation(new HealthTracker(0), createRandom(seed));
        simulation.run(learningPhase);
        const { worst, suspectedAfter } = simulation.run(phase);
        expect(suspectedAfter, `seed ${seed}`).to.be.at.most(6);
        expect(worst.reason.cause).to.equal(cause);
      });
    });
  });

  const outlierCases: readonly { name: string; phase?: Phase; peers: PeerView; is: boolean }[] = [
    { name: 'as slow as its peers', phase: slowPhase, peers: slowPeers, is: false },
    { name: 'slower than its peers', phase: slowPhase, peers: normalPeers, is: true },
    {
      name: 'failing more than its peers',
      phase: failingPhase('reset'),
      peers: normalPeers,
      is: true,
    },
    { name: 'unresponsive', peers: normalPeers, is: true },
  ];
  outlierCases.forEach(({ name, phase, peers, is }) => {
    it(`reports that a target that is ${name} ${is ? 'is' : 'is not'} an outlier`, () => {
      const simulation = new TrafficSimulation(new HealthTracker(0), createRandom(11));
      simulation.run(learningPhase);
      if (phase === undefined) simulation.begin(5);
      else simulation.run(phase);
      simulation.wait(0.2);
      simulation.wait(0.2);
      simulation.tracker.setPeers(peers);
      expect(simulation.tracker.isOutlier(simulation.time)).to.equal(is);
    });
  });

  const unresponsiveCases = [
    {
      name: 'suspects an unresponsive target by its running requests alone',
      running: 4,
      isSuspect: true,
    },
    { name: 'does not suspect a target for one hanging request', running: 1, isSuspect: false },
  ];
  unresponsiveCases.forEach(({ name, running, isSuspect }) => {
    it(name, () => {
      const simulation = new TrafficSimulation(new HealthTracker(0), createRandom(11));
      simulation.run(learningPhase);
      simulation.begin(running);
      const verdicts = [simulation.wait(0.5), simulation.wait(0.5)];
      const health = verdicts[1]?.health;
      expect(health === 'suspect' || health === 'sick').to.equal(isSuspect);
    });
  });

  it('suspects a target that was slow before its home started, by comparison with its peers', () => {
    const simulation = new TrafficSimulation(new HealthTracker(0), createRandom(11));
    simulation.tracker.setPeers(normalPeers);
    expect(simulation.run(slowPhase).suspectedAfter).to.be.at.most(6);
  });

  it('does not report a cold target as sick for slow requests', () => {
    const simulation = new TrafficSimulation(new HealthTracker(0), createRandom(11));
    simulation.run(learningPhase);
    simulation.tracker.reset(120_000, true);
    expect(simulation.run({ seconds: 20, slowness: 10 }).worst.health).not.to.equal('sick');
  });

  it('ignores requests that were sent before a trial', () => {
    const tracker = new HealthTracker(0);
    const requests = Array.from({ length: 5 }, () => tracker.begin('short', 0));
    tracker.reset(1_000, false);
    requests.forEach((request) =>
      tracker.record({ kind: 'timeout', route: 'short', latency: 10_000 }, 10_000, request),
    );
    expect(tracker.verdict(10_000).health).to.equal('healthy');
  });
});
